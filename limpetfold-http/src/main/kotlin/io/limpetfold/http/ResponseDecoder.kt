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

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = isBodiless() || super.isContentAlwaysEmpty(msg)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
