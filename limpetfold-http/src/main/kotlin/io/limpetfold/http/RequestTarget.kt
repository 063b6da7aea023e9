package io.limpetfold.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/**
 * The target of a request.
 *
 * @property originForm path and query, which are matched and sent on as they are.
 * @property authority host and port of a target in absolute form, which count instead of the `Host` field; or null.
 */
internal class RequestTarget private constructor(
    val originForm: String,
    val authority: String?,
) {
    companion object {
        private const val SCHEME = "http://"
        private const val PUNCTUATION = "-._~!$&'()*+,;=%"
        private const val ADDRESS_PUNCTUATION = ":."

        /** Returns the target as received in [text], or why it can't be read in one way. */
        fun read(text: String): Result<RequestTarget, String> {
            if (!text.all { it in '!'..'~' && it != '#' }) return Err("the request target has a character of no URI")
            if (text.startsWith("/")) return checked(RequestTarget(text, null))
            if (!text.startsWith(SCHEME, ignoreCase = true)) return Err("the request target is not a path")
            val afterScheme = text.substring(SCHEME.length)
            val authority = afterScheme.takeWhile { it != '/' && it != '?' }
            if (authority.startsWith(":") || authority.isEmpty() || !isAuthority(authority)) {
                return Err("the request target has no valid host")
            }
            val rest = afterScheme.substring(authority.length)
            return checked(RequestTarget(if (rest.startsWith("/")) rest else "/$rest", authority))
        }

        /** Whether [text] is a host with an optional port, as a `Host` field must be (RFC 9110); it may be empty. */
        fun isAuthority(text: String): Boolean {
            val host = if (text.startsWith("[")) text.substringBefore(']', "") + "]" else text.substringBefore(':')
            val port = text.drop(host.length)
            return isHost(host) && (port.isEmpty() || port.startsWith(":") && port.drop(1).all { it in '0'..'9' })
        }

        private fun isHost(host: String): Boolean =
            if (host.startsWith("[")) {
                host.drop(1).dropLast(1).all { it.isHexDigit() || it in ADDRESS_PUNCTUATION }
            } else {
                host.all { it in 'a'..'z' || it in 'A'..'Z' || it in '0'..'9' || it in PUNCTUATION }
            }

        private fun Char.isHexDigit() = this in '0'..'9' || this in 'a'..'f' || this in 'A'..'F'

        private fun checked(target: RequestTarget): Result<RequestTarget, String> {
            val problem = RequestPath.problem(target.originForm.substringBefore('?')) ?: return Ok(target)
            return Err("the path can be read in several ways: $problem")
        }
    }
}
