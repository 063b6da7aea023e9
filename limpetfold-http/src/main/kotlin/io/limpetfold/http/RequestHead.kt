package io.limpetfold.http

import java.net.URLDecoder

/**
 * The request line and header fields of a request.
 *
 * @property target path and query in origin form, as received. The path has no dot segments, encoded slashes, backslashes
 *   or control characters in a request that an [HttpServer] received.
 * @property headers `Host` is the host of a target that was received in absolute form.
 * @property body how the end of the request body is found.
 */
data class RequestHead(
    val method: String,
    val target: String,
    val headers: Headers,
    val body: BodyFraming = BodyFraming.None,
) {
    /** The target without its query, as received. */
    val path: String get() = target.substringBefore('?')

    /**
     * The path that the most lenient later reader takes [path] for: decoded, and without parameters of segments and empty
     * segments. A decision that it would change must not be made on [path].
     */
    val lenientPath: String get() = RequestPath.lenientReading(path)

    /** Returns the first decoded value of the query parameter [name], or null. */
    fun query(name: String): String? =
        target
            .substringAfter('?', "")
            .split('&')
            .firstOrNull { it.substringBefore('=') == name }
            ?.let { URLDecoder.decode(it.substringAfter('=', ""), Charsets.UTF_8) }

    /** How the end of a request body is found. */
    sealed interface BodyFraming {
        /** There is no body. */
        data object None : BodyFraming

        /** The body has [bytes] bytes. */
        data class Length(
            val bytes: Long,
        ) : BodyFraming

        /** The body ends with its last chunk. */
        data object Chunked : BodyFraming
    }
}
