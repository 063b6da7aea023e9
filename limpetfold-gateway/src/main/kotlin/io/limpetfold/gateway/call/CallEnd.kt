package io.limpetfold.gateway.call

import java.time.Duration

/** How a call ended for its caller. */
internal sealed interface CallEnd {
    /** The endpoint's response was forwarded completely. */
    data class Completed(
        val status: Int,
    ) : CallEnd

    /** This router refused the call itself; [retryAfter] is when a retry can succeed, or null if it is not known. */
    data class Refused(
        val reason: RefusalReason,
        val retryAfter: Duration? = null,
    ) : CallEnd

    /** The response was started and could not be completed. */
    data class Truncated(
        val reason: String,
    ) : CallEnd

    /** The caller disconnected before the end of the response. */
    data object CallerDisconnected : CallEnd
}
