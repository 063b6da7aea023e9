package io.limpetfold.router.call

import io.limpetfold.request.Refusal
import java.time.Duration

/** How a call ended, for metrics and the burn report. */
internal sealed interface CallEnd {
    /**
     * The caller has the whole answer.
     *
     * @property firstToken until the first token was passed on; null for plain services.
     * @property betweenTokens mean time between tokens; null for plain services and answers of one token.
     */
    data class Answered(
        val status: Int,
        val firstToken: Duration? = null,
        val betweenTokens: Duration? = null,
        val usedTokens: Long = 0,
    ) : CallEnd

    /** The caller got [refusal]. */
    data class Refused(
        val refusal: Refusal,
    ) : CallEnd

    /** The answer began and could not be completed; the caller was told so. */
    data class Broken(
        val reason: String,
    ) : CallEnd

    /** The caller went away. */
    data object Cancelled : CallEnd
}
