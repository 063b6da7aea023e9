package io.limpetfold.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.util.concurrent.TimeUnit

/** Ends a connection after its last response. Call it on the event loop. */
internal class FinalResponse(
    private val channel: Channel,
) {
    /** Writes [refusal] with [headers] and closes the connection; calls [onWritten] in between. */
    fun refuse(
        refusal: RequestCheck.Refusal,
        headers: Headers,
        onWritten: () -> Unit,
    ) {
        val body =
            Unpooled.wrappedBuffer(
                ErrorBody.encode("invalid_request", refusal.message, refusal.remedy, ran = "no"),
            )
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusal.status, body)
        response.headers().set("Content-Type", "application/json")
        response.headers().set("Content-Length", body.readableBytes())
        response.headers().set("Connection", "close")
        (headers.entries + refusal.headers.entries).forEach { (name, value) -> response.headers().add(name, value) }
        channel.writeAndFlush(response).addListener { lingerAndClose(onWritten) }
    }

    /**
     * Drops input for a while before closing: closing a socket with unread bytes resets the connection, and the caller
     * can lose the response. [onLinger] must let the input be read.
     */
    fun lingerAndClose(onLinger: () -> Unit) {
        if (!channel.isActive) return
        onLinger()
        channel.config().setOption(ChannelOption.SO_LINGER, NO_RESET)
        (channel as? SocketChannel)?.shutdownOutput()
        channel.eventLoop().schedule({ channel.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val LINGER_MILLIS = 500L

        /** Turns the linger time of a socket off, with which an unfinished response resets its connection. */
        const val NO_RESET = -1
    }
}
