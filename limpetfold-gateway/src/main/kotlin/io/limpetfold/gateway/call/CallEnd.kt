package io.limpetfold.gateway.call

/** How a call ended for its caller. */
internal sealed interface CallEnd {
    /** The endpoint's answer was passed on whole. */
    data class Answered(
        val status: Int,
    ) : CallEnd

    /** This router answered. */
    data class Refused(
        val reason: RefusalReason,
    ) : CallEnd

    /** The answer was cut off after it had begun. */
    data class Broken(
        val reason: String,
    ) : CallEnd

    /** The caller left before the answer ended. */
    data object CallerGone : CallEnd
}
