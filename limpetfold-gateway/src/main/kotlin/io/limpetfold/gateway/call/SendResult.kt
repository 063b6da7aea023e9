package io.limpetfold.gateway.call

/** What came of sending a call to one endpoint. */
internal sealed interface SendResult {
    /** The caller has the whole answer. */
    data class Delivered(
        val status: Int,
    ) : SendResult

    /** No byte of the call was written. */
    data class NotSent(
        val reason: String,
    ) : SendResult

    /** The endpoint proved that it did not run the call. */
    data class NotRun(
        val status: Int,
    ) : SendResult

    /** The call may have run, and nothing went to the caller. */
    data class Unknown(
        val reason: String,
    ) : SendResult

    /** The answer broke off after a part of it went to the caller; a resumable stream may go on elsewhere. */
    data class Interrupted(
        val reason: String,
    ) : SendResult
}
