package io.limpetfold.router.call

import io.limpetfold.request.Refusal
import java.time.Duration

/** How a call ended, for metrics and the SLO burn report. */
internal sealed interface CallEnd {
    /**
     * The caller received the complete response.
     *
     * @property firstToken time from the arrival of the call to its first token; null for plain services.
     * @property betweenTokens mean time between tokens; null for plain services and responses of fewer than two tokens.
     */
    data class Answered(
        val status: Int,
        val firstToken: Duration? = null,
        val betweenTokens: Duration? = null,
        val chargedTokens: Long = 0,
    ) : CallEnd

    /** The call was refused with [refusal]. */
    data class Refused(
        val refusal: Refusal,
    ) : CallEnd

    /** The response started but could not be completed; the caller got an error event or a cut connection. */
    data class Broken(
        val reason: String,
    ) : CallEnd

    /** The caller disconnected, or another router took the request over. */
    data object Cancelled : CallEnd
}
