package io.limpetfold.budget

import io.limpetfold.store.ObjectVersion
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * One write of a holder to its ledger, which contains all its cumulative totals.
 *
 * @property knownSequence the number of the holder's last write that it has seen; a higher one in the ledger is a write
 * whose response was lost.
 * @property receivedTokens cumulative tokens received from each peer, by holder key.
 * @property sentTokens cumulative tokens sent to each peer, by holder key.
 * @property returnedTokens cumulative tokens returned to the free ones.
 * @property confirmedEnds the highest end number up to which the holder accepts no more transfers from ended holders.
 * @property demandTokensPerSecond the demand of the holder's callers; recorded with other changes, and no reason to
 * write by itself.
 * @property closedPeers closed peers with which the holder exchanges no more tokens, so that their totals can be
 * dropped.
 * @property totals what the holder knows from before a restore of the store.
 * @property witnessed what the holder's router knows of other holders; recorded during a recovery only.
 * @property seenRecoveryBegunAt [BudgetLedger.recoveryBegunAt] as last seen by the holder.
 * @property mayEndRecovery whether the holder has seen the recovery of the ledger for so long that holders which the
 * ledger does not list have had the time to confirm their totals.
 */
data class HolderUpdate(
    val knownSequence: Long,
    val spentTokens: Long = 0,
    val receivedTokens: PersistentMap<String, Long> = persistentMapOf(),
    val sentTokens: PersistentMap<String, Long> = persistentMapOf(),
    val returnedTokens: Long = 0,
    val confirmedEnds: Long = 0,
    val closedPeers: PersistentSet<String> = persistentSetOf(),
    val demandTokensPerSecond: Double = 0.0,
    val totals: HolderTotals = HolderTotals(),
    val witnessed: WitnessedHolders = WitnessedHolders(),
    val seenRecoveryBegunAt: ObjectVersion = ObjectVersion.NONE,
    val mayEndRecovery: Boolean = false,
)
