package io.limpetfold.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion

/** Builds the messages of requests to the endpoint at [address]. */
internal class UpstreamMessages(
    private val address: HostPort,
) {
    /** Returns [request] without its body, which follows as a stream. */
    fun head(request: UpstreamRequest): HttpRequest =
        prepare(
            request,
            DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method), request.target),
        )

    /** Returns [request] with the body [bytes]. */
    fun whole(
        request: UpstreamRequest,
        bytes: ByteArray,
    ): HttpRequest {
        val method = HttpMethod.valueOf(request.method)
        val body = Unpooled.wrappedBuffer(bytes)
        return prepare(request, DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, request.target, body))
    }

    private fun prepare(
        request: UpstreamRequest,
        message: HttpRequest,
    ): HttpRequest {
        val headers = message.headers()
        request.headers
            .withoutHopByHop()
            .entries
            .forEach { (name, value) -> headers.add(name, value) }
        if (!headers.contains("Host")) headers.set("Host", address.toString())
        when (val body = request.body) {
            is UpstreamBody.Bytes -> headers.set("Content-Length", body.bytes.size)
            is UpstreamBody.Stream ->
                if (body.lengthBytes == null) {
                    HttpUtil.setTransferEncodingChunked(message, true)
                } else {
                    headers.set("Content-Length", body.lengthBytes)
                }
            UpstreamBody.None -> if (request.method !in setOf("GET", "HEAD", "DELETE")) headers.set("Content-Length", 0)
        }
        return message
    }
}
