package io.limpetfold.http

import java.net.URLDecoder

/**
 * The request line and header fields of a request.
 *
 * @property target path and query in origin form, as received.
 */
data class RequestHead(
    val method: String,
    val target: String,
    val headers: Headers,
) {
    /** The target without its query, as received. */
    val path: String get() = target.substringBefore('?')

    /** Returns the first decoded value of the query parameter [name], or null. */
    fun query(name: String): String? =
        target
            .substringAfter('?', "")
            .split('&')
            .firstOrNull { it.substringBefore('=') == name }
            ?.let { URLDecoder.decode(it.substringAfter('=', ""), Charsets.UTF_8) }
}
