package io.limpetfold.budget

import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * The ledger entry of one router incarnation.
 *
 * @property grantedTokens tokens that the holder may spend or has spent. It is temporarily negative when a transfer out
 * of the entry, or the spend of an ended holder, is recorded before the transfer into the entry that covers it.
 * @property acquiredTokens cumulative tokens granted by the platform, without transfers.
 * @property reportedSpentTokens cumulative spend reported by the holder; settled when the entry is closed.
 * @property sequence the number of the holder's own writes, by which it recognises a write whose response was lost.
 * @property confirmedEnds the highest [endNumber] up to which the holder has recorded all its transfers with ended
 * holders.
 * @property endNumber position among the ended holders, or 0 while the holder is open.
 * @property returnedTokens cumulative tokens that the holder returned to the free ones.
 * @property demandTokensPerSecond the demand of the holder's callers at its last write, by which the holders share
 * what they may hold.
 * @property isWrittenOff the holder was reclaimed without a copy of its spend, so transfers to it recorded later count
 * as spent.
 * @property confirmedAt the [BudgetLedger.recoveryBegunAt] at which the holder last stated all its totals.
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
    val demandTokensPerSecond: Double = 0.0,
    val confirmedAt: ObjectVersion = ObjectVersion.NONE,
) {
    /** Whether the holder has ended and its remainder is not freed until its peers have confirmed their transfers. */
    val isEnded: Boolean get() = endNumber > 0
}
