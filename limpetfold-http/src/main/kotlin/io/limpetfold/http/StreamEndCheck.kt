package io.limpetfold.http

import io.netty.channel.Channel
import java.util.concurrent.TimeUnit

/**
 * Tells whether a response that only the end of the stream delimits is whole. Confined to the event loop of [channel].
 *
 * An endpoint that closes the connection before it has read the request ends the stream too, and resets the connection
 * when it receives more. So the response is whole once the request was written as well and no reset has followed.
 */
internal class StreamEndCheck(
    private val channel: Channel,
) {
    private var requestBody: UpstreamBody = UpstreamBody.None
    private var requestWrittenNanos: Long? = null
    private var onChecked: ((Boolean) -> Unit)? = null

    /** Whether the stream has ended and it is not yet known whether the response is whole. */
    val isPending: Boolean get() = onChecked != null

    /** A request with [body] is about to be written. */
    fun onRequest(body: UpstreamBody) {
        requestBody = body
        requestWrittenNanos = null
        onChecked = null
    }

    /** The request was written to its end. */
    fun onRequestWritten() {
        requestWrittenNanos = System.nanoTime()
        if (isPending) awaitReset()
    }

    /** The stream has ended; calls [onChecked] with whether the response is whole, unless the channel closes first. */
    fun onEndOfStream(onChecked: (isWhole: Boolean) -> Unit) {
        if (requestBody == UpstreamBody.None) return onChecked(true)
        this.onChecked = onChecked
        if (requestWrittenNanos != null) awaitReset()
    }

    private fun awaitReset() {
        val waitMillis = maxOf(unreadRequestMillis(), RESET_WAIT_MILLIS)
        channel.eventLoop().schedule(::check, waitMillis, TimeUnit.MILLISECONDS)
    }

    /** How long from now the endpoint may still have parts of the request to read. */
    private fun unreadRequestMillis(): Long {
        val writtenNanos = requestWrittenNanos
        if (requestBody !is UpstreamBody.Stream || writtenNanos == null) return 0
        return UNREAD_REQUEST_MILLIS - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - writtenNanos)
    }

    private fun check() {
        if (!channel.isActive) return
        onChecked?.invoke(!channel.isReset)
        onChecked = null
    }

    private companion object {
        /** How long a reset is awaited after the end of the stream; an endpoint that closes sends both in a row. */
        const val RESET_WAIT_MILLIS = 10L

        /** Parts of a long request arrive after its last byte was written; a short one arrives with its head. */
        const val UNREAD_REQUEST_MILLIS = 500L
    }
}
