package io.limpetfold.budget

/** The final totals of an account with one closed peer. */
data class PeerTotals(
    val receivedTokens: Long,
    val sentTokens: Long,
)
