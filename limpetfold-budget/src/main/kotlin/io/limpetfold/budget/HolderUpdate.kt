package io.limpetfold.budget

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * One write of a holder to its ledger: everything it knows, as cumulative totals.
 *
 * @property knownSequence the holder's last write that it has seen; another one in the ledger is a write whose answer was lost.
 * @property receivedTokens cumulative tokens received from each peer, by holder key.
 * @property sentTokens cumulative tokens sent to each peer, by holder key.
 * @property returnedTokens cumulative tokens given back to the free ones.
 * @property confirmedEnds the holder accepts no transfer any more from the holders ended up to this number.
 * @property gonePeers closed peers that the holder exchanges nothing with any more, so their totals can be dropped.
 */
data class HolderUpdate(
    val knownSequence: Long,
    val spentTokens: Long = 0,
    val receivedTokens: PersistentMap<String, Long> = persistentMapOf(),
    val sentTokens: PersistentMap<String, Long> = persistentMapOf(),
    val returnedTokens: Long = 0,
    val confirmedEnds: Long = 0,
    val gonePeers: PersistentSet<String> = persistentSetOf(),
)
