package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/** Decodes requests; [accept] sees all bytes first and may drop them. */
internal class RequestDecoder(
    settings: HttpServerSettings,
    pieceBytes: Int,
    private val accept: (ByteBuf) -> Boolean,
) : HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(settings.maxRequestLineBytes)
            .setMaxHeaderSize(settings.maxHeaderBytes)
            .setMaxChunkSize(pieceBytes)
            .setAllowDuplicateContentLengths(false),
    ) {
    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (msg is ByteBuf && !accept(msg)) msg.release() else super.channelRead(ctx, msg)
    }

    /** Netty prefers `Transfer-Encoding` here; two parties that prefer different fields would see different requests. */
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")
}
