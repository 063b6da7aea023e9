package io.limpetfold.http

/** The status and header fields of a response. */
data class ResponseHead(
    val status: Int,
    val headers: Headers,
) {
    /** Whether only the end of the connection ends the body, so that a body that was cut off can look complete. */
    val isCloseDelimited: Boolean
        get() = headers["Content-Length"] == null && headers["Transfer-Encoding"] == null
}
