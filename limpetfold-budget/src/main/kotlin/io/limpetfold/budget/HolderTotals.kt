package io.limpetfold.budget

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * All totals of a holder, with which it replaces its entry after a restore of the store.
 *
 * @property grantedTokens the tokens granted and received less those sent and returned.
 * @property acquiredTokens cumulative tokens granted by the platform.
 * @property receivedTokens cumulative tokens received from each peer, including peers that closed recently.
 * @property sentTokens cumulative tokens sent to each peer, including peers that closed recently.
 * @property openPeers the other holders that may be open: those with an open entry as last seen, and those with which
 * this holder has exchanged tokens.
 * @property closedHolders the holders that were closed, with the tokens settled for them, as last seen.
 */
data class HolderTotals(
    val grantedTokens: Long = 0,
    val acquiredTokens: Long = 0,
    val receivedTokens: PersistentMap<String, Long> = persistentMapOf(),
    val sentTokens: PersistentMap<String, Long> = persistentMapOf(),
    val openPeers: PersistentSet<String> = persistentSetOf(),
    val closedHolders: PersistentMap<String, Long> = persistentMapOf(),
)
