package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests. [accept] is called with all received bytes first; those for which it returns false are dropped.
 *
 * Netty's decoder takes its sizes when the connection is opened, so it accepts heads up to the upper bound, and [accept]
 * checks the limit in force.
 */
internal class RequestDecoder(
    settings: HttpServerSettings,
    pieceBytes: Int,
    private val accept: (ByteBuf) -> Boolean,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(settings.maxRequestLineBytes)
            .setMaxHeaderSize(ConnectionLimits.MAX_HEADER_BYTES)
            .setMaxChunkSize(pieceBytes)
            .setAllowDuplicateContentLengths(false)
            .setHeadersFactory(SingleLengthHeaders),
    ) {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (msg is ByteBuf && !accept(msg)) msg.release() else super.channelRead(ctx, msg)
    }

    /**
     * Netty would prefer `Transfer-Encoding`; a proxy that prefers the other field would see a different request
     * (request smuggling).
     */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
