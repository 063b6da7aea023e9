package io.limpetfold.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

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

    private val scanner = HeadScanner()

    /** Whether a head, or chunks and their trailer fields, are received, and not the bytes of a body alone. */
    private var hasLines = true

    override fun channelRead(
        ctx: ChannelHandlerContext,
        msg: Any,
    ) {
        if (msg is ByteBuf && !accept(msg)) msg.release() else super.channelRead(ctx, msg)
    }

    /**
     * Checks the lines that Netty has decoded. Those of a trailer follow the line of the last chunk's size, as the fields
     * of a head follow its first line.
     */
    override fun decode(
        ctx: ChannelHandlerContext,
        buffer: ByteBuf,
        out: MutableList<Any>,
    ) {
        val start = buffer.readerIndex()
        val decodedBefore = out.size
        super.decode(ctx, buffer, out)
        val decoded = out.getOrNull(decodedBefore)
        val isPiece = decoded is HttpContent && decoded !is LastHttpContent
        if (hasLines && !isPiece) scanner.scan(buffer.slice(start, buffer.readerIndex() - start))
        if (decoded == null) return
        if (scanner.isFolded || scanner.hasMalformedName) out[decodedBefore] = malformed(decoded)
        if (decoded is HttpResponse) hasLines = HttpUtil.isTransferEncodingChunked(decoded)
        if (out.last() is LastHttpContent) hasLines = true
        scanner.reset()
    }

    private fun malformed(decoded: Any): Any {
        // The end of a body that the decoder shares can't be marked.
        val isShared = decoded === LastHttpContent.EMPTY_LAST_CONTENT
        val marked = if (isShared) DefaultLastHttpContent() else decoded as HttpObject
        marked.decoderResult = DecoderResult.failure(IllegalArgumentException("a line has no field name"))
        return marked
    }

    /** Netty accepts any version, and reads any number as a status, also with a sign or leading zeros. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        val (version, status) = initialLine
        require(VERSION.matches(version)) { "the version is not HTTP/1" }
        require(STATUS.matches(status)) { "the status is not a number from 100 to 599" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(msg: HttpMessage): Boolean = isBodiless() || super.isContentAlwaysEmpty(msg)

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding are present")

    private companion object {
        val VERSION = Regex("HTTP/1\\.[0-9]")
        val STATUS = Regex("[1-5][0-9]{2}")
    }
}
