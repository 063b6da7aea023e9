package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes responses. [accept] is called with all received bytes first; those for which it returns false are dropped.
 *
 * [isBodiless] tells whether the request was a `HEAD`, whose response has no body.
 */
internal class ResponseDecoder(
    maxHeaderBytes: Int,
    pieceBytes: Int,
    private val accept: (ByteBuf) -> Boolean,
    private val isBodiless: () -> Boolean,
) : HttpResponseDecoder(
        HttpDecoderConfig()
            .setMaxHeaderSize(
                maxHeaderBytes,
            ).setMaxChunkSize(pieceBytes)
            .setAllowDuplicateContentLengths(false)
            .setHeadersFactory(ReceivedHeaders.Factory),
    ) {
    /** The number of bytes received but not decoded; more than 0 at the end of a response means surplus bytes. */
    val undecodedBytes: Int get() = actualReadableBytes()

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (msg is ByteBuf && !accept(msg)) msg.release() else super.channelRead(ctx, msg)
    }

    /** Netty reads any number as a status, also with a sign or leading zeros. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val status = initialLine[STATUS_INDEX]
        require(STATUS.matches(status)) { "the status is not a number from 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = isBodiless() || super.isContentAlwaysEmpty(msg)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")

    private companion object {
        /** Position of the status between the version and the reason. */
        const val STATUS_INDEX = 1
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}
