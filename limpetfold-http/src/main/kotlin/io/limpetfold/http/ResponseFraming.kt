package io.limpetfold.http

import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus

/** How the end of a response is found, and whether that is certain. */
internal class ResponseFraming(
    method: String,
    private val status: Int,
    headers: Headers,
) {
    private val encodings = headers.all("Transfer-Encoding")
    private val lengths = headers.all("Content-Length")
    private val isChunked = encodings.size == 1 && encodings[0].equals("chunked", ignoreCase = true)
    private val isBodiless =
        method == HttpMethod.HEAD.name() ||
            status == HttpResponseStatus.NO_CONTENT.code() ||
            status == HttpResponseStatus.NOT_MODIFIED.code()

    /** Whether the body ends with the connection. */
    val isCloseDelimited = !isBodiless && !isChunked && lengths.isEmpty()

    /** Returns why the response can't be used, or null. */
    fun problem(acceptsCloseDelimited: Boolean): String? =
        when {
            status < HttpResponseStatus.OK.code() -> "status $status is not supported"
            encodings.isNotEmpty() && !isChunked -> "Transfer-Encoding is not exactly 'chunked'"
            lengths.size > 1 || lengths.any { !it.isDecimalNumber() } ->
                "Content-Length is not one number"
            // Without a length, a truncated response looks complete.
            isCloseDelimited && !acceptsCloseDelimited -> "the answer has no length"
            else -> null
        }
}
