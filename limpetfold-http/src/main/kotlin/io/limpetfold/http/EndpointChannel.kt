package io.limpetfold.http

import io.netty.channel.Channel
import io.netty.channel.socket.nio.NioSocketChannel
import java.io.IOException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector

/** The socket channel of a connection to an endpoint. */
internal class EndpointChannel : NioSocketChannel() {
    /**
     * Whether the endpoint has reset the connection, or that can't be told.
     *
     * Reads no longer report a reset once they have reported the end of the stream. A selection for
     * [SelectionKey.OP_CONNECT] reports the pending errors of a connected socket too.
     */
    val isReset: Boolean
        get() =
            try {
                Selector.open().use { selector ->
                    javaChannel().register(selector, SelectionKey.OP_CONNECT)
                    selector.selectNow() > 0
                }
            } catch (_: IOException) {
                true
            }
}

/** Whether the peer has reset this connection to an endpoint. */
internal val Channel.isReset: Boolean get() = (this as? EndpointChannel)?.isReset == true
