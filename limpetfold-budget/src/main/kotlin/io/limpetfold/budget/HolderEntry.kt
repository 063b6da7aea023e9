package io.limpetfold.budget

import kotlinx.serialization.Serializable

/**
 * What the ledger counts for one router incarnation.
 *
 * @property grantedTokens tokens that the holder may spend or has spent. It is negative for a while when a transfer out
 * of the entry is recorded before the transfer into it that covers it, or when the spend of an ended holder is.
 * @property acquiredTokens cumulative tokens granted by the platform, without transfers.
 * @property reportedSpentTokens cumulative spend reported by the holder; settled when the entry is closed.
 * @property sequence counts the holder's own writes, by which it recognises a write whose answer was lost.
 * @property confirmedEnds the holder has recorded all its transfers with the holders ended up to this number.
 * @property endNumber position among the ended holders, or 0 while the holder is open.
 * @property returnedTokens cumulative tokens that the holder gave back to the free ones.
 * @property isWrittenOff no copy of the ended holder's spend was left, so transfers to it recorded later count as spent.
 */
@Serializable
data class HolderEntry(
    val grantedTokens: Long = 0,
    val acquiredTokens: Long = 0,
    val reportedSpentTokens: Long = 0,
    val sequence: Long = 0,
    val confirmedEnds: Long = 0,
    val endNumber: Long = 0,
    val isWrittenOff: Boolean = false,
    val returnedTokens: Long = 0,
) {
    /** Whether the holder was reclaimed and its remainder waits for the confirmation of its peers. */
    val isEnded: Boolean get() = endNumber > 0
}
