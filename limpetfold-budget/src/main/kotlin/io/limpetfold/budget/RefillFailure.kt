package io.limpetfold.budget

/** The reason why an attempt to refill an account did not cover the need. */
internal sealed interface RefillFailure {
    /** The platform responded and had too few free tokens. */
    data class Insufficient(
        val neededTokens: Long,
        val balance: LedgerBalance,
    ) : RefillFailure {
        val freeTokens: Long get() = balance.freeTokens
    }

    /** The platform failed the call or did not respond in time, or no call was made during the backoff. */
    data class Unavailable(
        val reason: String,
    ) : RefillFailure

    /** The tokens of a restored ledger are withheld, for [remainingMillis] at least. */
    data class Withheld(
        val remainingMillis: Long,
    ) : RefillFailure

    /** The workspace has no ledger. */
    data object UnknownWorkspace : RefillFailure

    /** The agent is closed, or the account is closed or reclaimed. */
    data object Closed : RefillFailure
}
