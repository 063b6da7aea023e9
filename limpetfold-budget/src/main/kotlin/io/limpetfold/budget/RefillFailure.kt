package io.limpetfold.budget

/** Why an attempt to refill an account did not cover the need. */
internal sealed interface RefillFailure {
    /** The platform answered and had too few free tokens. */
    data class Insufficient(
        val neededTokens: Long,
        val freeTokens: Long,
    ) : RefillFailure

    /** The platform did not serve the call, or not in time. */
    data class Unavailable(
        val reason: String,
    ) : RefillFailure

    /** The workspace has no ledger. */
    data object UnknownWorkspace : RefillFailure

    /** The account is closed or reclaimed. */
    data object Closed : RefillFailure
}
