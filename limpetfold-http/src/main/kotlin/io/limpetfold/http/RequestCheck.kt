package io.limpetfold.http

import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Validates decoded request heads: syntax, size, and that no other HTTP parser could read them differently. */
internal class RequestCheck(
    private val settings: HttpServerSettings,
) {
    /** Returns the refusal for [request] under [limits], or null when it is acceptable. */
    fun refusal(
        request: HttpRequest,
        limits: ConnectionLimits,
    ): Refusal? {
        if (request.decoderResult().isFailure) return decoderRefusal(request.decoderResult().cause())
        val isVersion11 = request.protocolVersion() == HttpVersion.HTTP_1_1
        return headRefusal(request, isVersion11) ?: bodyRefusal(request.headers(), isVersion11, limits)
    }

    private fun headRefusal(
        request: HttpRequest,
        isVersion11: Boolean,
    ): Refusal? {
        val headers = request.headers()
        val hosts = headers.getAll("Host")
        return when {
            !isVersion11 && request.protocolVersion() != HttpVersion.HTTP_1_0 ->
                Refusal(
                    HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED,
                    "the HTTP version is not supported",
                    "use HTTP/1.1",
                )
            headers.size() > settings.maxHeaderCount ->
                Refusal(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "more than ${settings.maxHeaderCount} header fields",
                    "send fewer header fields",
                )
            !isOriginForm(request.uri()) ->
                Refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "the request target is not a path",
                    "send the target in origin form, such as /v1/models",
                )
            hosts.size > 1 || (isVersion11 && hosts.isEmpty()) ->
                Refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "the request needs exactly one Host field",
                    "send one Host field",
                )
            else -> null
        }
    }

    private fun bodyRefusal(
        headers: HttpHeaders,
        isVersion11: Boolean,
        limits: ConnectionLimits,
    ): Refusal? {
        val encodings = headers.getAll("Transfer-Encoding")
        val lengths = headers.getAll("Content-Length")
        return when {
            encodings.isNotEmpty() &&
                (encodings.size > 1 || !isVersion11 || !encodings[0].equals("chunked", ignoreCase = true)) ->
                Refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "Transfer-Encoding is not exactly 'chunked'",
                    "send a Content-Length or 'Transfer-Encoding: chunked'",
                )
            encodings.isNotEmpty() && lengths.isNotEmpty() ->
                Refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "both Content-Length and Transfer-Encoding are present",
                    "send only one of them",
                )
            lengths.size > 1 || lengths.any { it.isEmpty() || !it.all(Char::isAsciiDigit) } ->
                Refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "Content-Length is not one number",
                    "send one decimal Content-Length",
                )
            (lengths.firstOrNull()?.toLongOrNull() ?: if (lengths.isEmpty()) 0 else Long.MAX_VALUE) >
                limits.maxBodyBytes ->
                Refusal(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "the body exceeds ${limits.maxBodyBytes} bytes",
                    "send a smaller body",
                )
            headers.getAll("Expect").any { !it.equals("100-continue", ignoreCase = true) } ->
                Refusal(
                    HttpResponseStatus.EXPECTATION_FAILED,
                    "the expectation is not supported",
                    "send no Expect field",
                )
            else -> null
        }
    }

    private fun decoderRefusal(cause: Throwable): Refusal =
        when (cause) {
            is TooLongHttpLineException ->
                Refusal(
                    HttpResponseStatus.REQUEST_URI_TOO_LONG,
                    "the request line exceeds ${settings.maxRequestLineBytes} bytes",
                    "shorten the target",
                )
            is TooLongHttpHeaderException, is TooLongFrameException ->
                headerFieldsTooLarge(ConnectionLimits.MAX_HEADER_BYTES)
            else ->
                Refusal(
                    HttpResponseStatus.BAD_REQUEST,
                    "the request head is malformed",
                    "send a request as in RFC 9112",
                )
        }

    /** Returns the refusal of a head whose header field lines exceed [maxHeaderBytes]. */
    fun headerFieldsTooLarge(maxHeaderBytes: Int) =
        Refusal(
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the header fields exceed $maxHeaderBytes bytes",
            "send smaller header fields",
        )

    private fun isOriginForm(target: String): Boolean = target.startsWith("/") && target.all { it in '!'..'~' }

    /** The status and texts of the error response to a refused request. */
    data class Refusal(
        val status: HttpResponseStatus,
        val message: String,
        val remedy: String,
    )
}

private fun Char.isAsciiDigit(): Boolean = this in '0'..'9'
