package io.limpetfold.budget

import io.limpetfold.store.ObjectVersion
import kotlinx.collections.immutable.PersistentMap

/*
 * The recovery of a ledger after the store was restored from an older copy.
 *
 * A restored ledger lacks the last grants, reports and closes. From the first change on, until all open holders have
 * confirmed their totals, all tokens that no entry has are withheld: they include everything that lost writes can have
 * granted. Payments are withheld too, because a payment may repeat one that the restore lost and whose tokens were
 * granted.
 */

/** The ledger as read at [version]; in recovery if the store was restored since the ledger was last written. */
internal fun BudgetLedger.asReadAt(version: ObjectVersion): BudgetLedger =
    if (isWrittenInEraOf(version)) this else copy(recoveryBegunAt = version, isRecovering = true)

/** Whether the ledger, read at [version], was last written in the era of that version. */
internal fun BudgetLedger.isWrittenInEraOf(version: ObjectVersion): Boolean = recoveryBegunAt.era >= version.era

/**
 * Whether the holder with [key] has to confirm its totals: the ledger has its entry or lacks it as of a time before the
 * restore.
 */
internal fun BudgetLedger.needsConfirmation(
    key: String,
    knownSequence: Long,
    seenRecoveryBegunAt: ObjectVersion,
): Boolean {
    val entry = holders[key]
    if (entry != null) return !entry.isEnded && entry.confirmedAt != recoveryBegunAt
    return knownSequence > 0 && seenRecoveryBegunAt != recoveryBegunAt && key !in closedHolders
}

/**
 * Replaces the entry of the holder with [key] by the holder's own totals, and adds the peers that it knew as open.
 *
 * The totals of the holder count even where the entry has larger ones: tokens of a response that the holder never got
 * are not used. The granted tokens include transfers that peers have recorded and the holder has not seen yet, as
 * always.
 */
internal fun BudgetLedger.confirmed(
    key: String,
    update: HolderUpdate,
): BudgetLedger {
    val own = update.totals
    var next = withClosedPeers(own.closedHolders).withOpenPeers(own.openPeers).withWitnessed(update.witnessed)
    own.receivedTokens.forEach { (sender, total) -> next = next.withTransferTotal(sender, key, total, true) }
    own.sentTokens.forEach { (receiver, total) -> next = next.withTransferTotal(key, receiver, total, true) }
    val entry =
        HolderEntry(
            grantedTokens = own.grantedTokens + next.unseenTokens(key, own),
            acquiredTokens = own.acquiredTokens,
            reportedSpentTokens = update.spentTokens,
            sequence = update.knownSequence + 1,
            confirmedEnds = next.lowestEndNumber() - 1,
            returnedTokens = update.returnedTokens,
            demandTokensPerSecond = update.demandTokensPerSecond,
            confirmedAt = recoveryBegunAt,
        )
    return next.copy(holders = next.holders.put(key, entry))
}

/**
 * The lowest end number of an ended holder. End numbers are given out again after a restore, so a holder confirms the ends
 * only when it has seen the restored ledger.
 */
private fun BudgetLedger.lowestEndNumber(): Long {
    val ended = holders.values.filter { it.isEnded }
    return ended.minOfOrNull { it.endNumber } ?: 1
}

/** Ends the recovery when all open holders have confirmed their totals. */
internal fun BudgetLedger.recoveredIfConfirmed(): BudgetLedger {
    val isConfirmed = holders.values.none { !it.isEnded && it.confirmedAt != recoveryBegunAt }
    if (!isRecovering || !isConfirmed) return this
    val lostTokens = if (isWithheldLost) withheldTokens else 0
    return copy(
        isRecovering = false,
        isWithheldLost = false,
        settledTokens = settledTokens + lostTokens,
        writtenOffTokens = writtenOffTokens + lostTokens,
    )
}

/** The net tokens of transfers that peers have recorded and that the totals of the holder with [key] lack. */
private fun BudgetLedger.unseenTokens(
    key: String,
    own: HolderTotals,
): Long {
    val toHolder = BudgetLedger.pairKey("", key)
    val fromHolder = BudgetLedger.pairKey(key, "")
    return transfers.entries.sumOf { (pair, total) ->
        when {
            pair.endsWith(toHolder) -> total - (own.receivedTokens[pair.removeSuffix(toHolder)] ?: 0)
            pair.startsWith(fromHolder) -> (own.sentTokens[pair.removePrefix(fromHolder)] ?: 0) - total
            else -> 0
        }
    }
}

/**
 * Closes the holders again whose closes the restore has lost, with the tokens [settled] for them.
 *
 * A close is final, so a holder that was once seen as closed can have got nothing since.
 */
private fun BudgetLedger.withClosedPeers(settled: Map<String, Long>): BudgetLedger {
    val lost = settled.filterKeys { it !in closedHolders && !isKnownSinceRestore(it) }
    if (lost.isEmpty()) return this
    val kept = lost.keys.fold(holders) { entries, key -> entries.remove(key) }
    return copy(settledTokens = settledTokens + lost.values.sum(), holders = kept).withClosedHolders(lost)
}

private fun BudgetLedger.isKnownSinceRestore(key: String): Boolean =
    holders[key]?.let { it.isEnded || it.confirmedAt == recoveryBegunAt } == true

private fun BudgetLedger.withOpenPeers(peers: Collection<String>): BudgetLedger {
    val added = peers.filter { it !in holders && it !in closedHolders }
    if (added.isEmpty()) return this
    return copy(holders = holders.putAll(added.associateWith { HolderEntry(confirmedAt = UNCONFIRMED) }))
}

/** Adds entries for the holders that only a router to which they announced their ceilings knows of. */
internal fun BudgetLedger.withWitnessed(witnessed: WitnessedHolders): BudgetLedger =
    withOpenPeers(witnessed.recentHolders)

/** The last [count] entries in the order in which they were added. */
internal fun <V> PersistentMap<String, V>.lastEntries(count: Int): PersistentMap<String, V> =
    keys.take(maxOf(0, size - count)).fold(this) { kept, key -> kept.remove(key) }

/** Differs from the version of each recovery, since a ledger in recovery was read from the store. */
private val UNCONFIRMED = ObjectVersion.NONE
