package io.limpetfold.budget

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.core.Incarnation
import io.limpetfold.store.ObjectVersion
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.Serializable

/**
 * The prepaid budget of one workspace, as stored under `budget/<workspace>`.
 *
 * In every version `settledTokens + sum(grantedTokens) <= paidTokens`. All functions are pure and return the same
 * instance when nothing changes.
 *
 * An ended holder may have sent tokens that no write has recorded yet. Its remainder is therefore freed only after
 * every holder that was open at that time has recorded its transfers with the ended one ([HolderEntry.confirmedEnds]).
 * A router accepts tokens from peers only when it has an entry itself, so no other incarnation can hold tokens of the
 * ended one.
 *
 * @property settledTokens the final spend of all closed and ended holders.
 * @property holders entries by [Incarnation.key].
 * @property transfers cumulative tokens by ordered pair, as in `sender@1>receiver@2`. A pair is dropped when both
 * holders are closed, or when one is closed and the other has recorded the final total.
 * @property topUps tokens by identity. When the map is full, the identities of its oldest day are dropped and
 * [topUpsForgottenThrough] is set to that day. A later top-up dated that day or before is refused, because it may be a
 * retry; so dropping an identity never lets a top-up be applied twice, and no clock is needed.
 * @property paidVersion the version of the configuration that [paidTokens] was taken from; 0 when it is the sum of
 * top-ups.
 * @property endCount the number of holders that were ended by a reclaim.
 * @property writtenOffTokens the part of [settledTokens] that was granted to holders that ended without a report, so
 * that nobody knows how much of it they spent.
 * @property recoveryBegunAt the version of the restored ledger at which its recovery began; [ObjectVersion.NONE] before
 * the first restore of the store. It identifies the recovery, because a write of an earlier era that arrives late can
 * make another one necessary.
 * @property isRecovering whether some holders may not have confirmed their totals since a restore of the store. Nothing
 * is granted then.
 * @property isWithheldLost whether a holder without a report was ended during the recovery, so that nobody knows how
 * many of the [withheldTokens] it got.
 * @property closedHolders the last [MAX_CLOSED_HOLDERS] holders whose entries were removed, oldest first, with the
 * tokens that were settled for them. After a restore they tell whether the close of a missing holder is recorded in this
 * ledger.
 */
@Serializable
data class BudgetLedger(
    val paidTokens: Long = 0,
    val settledTokens: Long = 0,
    @Serializable(with = PersistentMapSerializer::class)
    val holders: PersistentMap<String, HolderEntry> = persistentMapOf(),
    @Serializable(with = PersistentMapSerializer::class)
    val transfers: PersistentMap<String, Long> = persistentMapOf(),
    @Serializable(with = PersistentMapSerializer::class)
    val topUps: PersistentMap<String, Long> = persistentMapOf(),
    val topUpsForgottenThrough: String = "",
    val endCount: Long = 0,
    val paidVersion: Long = 0,
    val writtenOffTokens: Long = 0,
    val recoveryBegunAt: ObjectVersion = ObjectVersion.NONE,
    val isRecovering: Boolean = false,
    val isWithheldLost: Boolean = false,
    @Serializable(with = PersistentMapSerializer::class)
    val closedHolders: PersistentMap<String, Long> = persistentMapOf(),
) {
    /** Tokens paid and neither settled nor granted, less [withheldTokens]. */
    val freeTokens: Long get() = ungrantedTokens - withheldTokens

    /** Tokens that lost writes may have granted, and payments since the restore. */
    val withheldTokens: Long get() = if (isRecovering) maxOf(0, ungrantedTokens) else 0

    private val ungrantedTokens: Long get() = paidTokens - settledTokens - holders.values.sumOf { it.grantedTokens }

    /** Tokens paid and not reported as spent. */
    val unspentTokens: Long get() =
        paidTokens - settledTokens -
            holders.values.sumOf { it.reportedSpentTokens.coerceAtMost(it.grantedTokens) }

    /** The tokens by their state, as seen by the holder with [holderKey]. */
    fun balanceFor(holderKey: String): LedgerBalance {
        val others = holders.filter { (key, entry) -> key != holderKey && !entry.isEnded }.values
        return LedgerBalance(
            paidTokens,
            freeTokens,
            unspentTokens,
            writtenOffTokens,
            others.sumOf { it.demandTokensPerSecond },
            withheldTokens,
            isRecovering,
        )
    }

    /** Adds [tokens] to the paid total; idempotent by [id]. */
    fun topUp(
        id: TopUpId,
        tokens: Long,
    ): Result<BudgetLedger, LedgerRefusal> {
        require(tokens in 1..MAX_TOP_UP_TOKENS) { "a top-up has 1 to $MAX_TOP_UP_TOKENS tokens, not $tokens" }
        val applied = topUps[id.value]
        if (applied != null) return if (applied == tokens) Ok(this) else Err(LedgerRefusal.TopUpMismatch(id, applied))
        if (id.date <= topUpsForgottenThrough) return Err(LedgerRefusal.TopUpTooOld(id, topUpsForgottenThrough))
        val added = copy(paidTokens = Math.addExact(paidTokens, tokens), topUps = topUps.put(id.value, tokens))
        if (added.topUps.size <= MAX_TOP_UPS) return Ok(added.normalised())
        val oldest = added.topUps.keys.minOf { TopUpId(it).date }
        if (id.date == oldest) return Err(LedgerRefusal.TooManyTopUps(oldest))
        val kept = added.topUps.filterKeys { TopUpId(it).date > oldest }.toPersistentMap()
        return Ok(added.copy(topUps = kept, topUpsForgottenThrough = oldest).normalised())
    }

    /**
     * Replaces the paid total by a [total] of a higher version. A total below the granted tokens leaves no free tokens.
     */
    fun withPaidTotal(total: PaidTotal): BudgetLedger =
        if (total.version <= paidVersion) this else copy(paidTokens = total.tokens, paidVersion = total.version)

    /**
     * Records the totals of [holder] and grants [grantSize] tokens, at most the free ones.
     *
     * Returns this ledger unchanged when it has a write of the holder that the holder has not seen. The holder first
     * applies the effect of that write, so that a lost response never doubles a grant.
     */
    fun update(
        holder: Incarnation,
        update: HolderUpdate,
        grantSize: (LedgerBalance) -> Long = { 0 },
    ): Result<BudgetLedger, LedgerRefusal> {
        val named = if (isRecovering) withWitnessed(update.witnessed) else this
        return named.updateEntry(holder.key, update, grantSize)
    }

    private fun updateEntry(
        key: String,
        update: HolderUpdate,
        grantSize: (LedgerBalance) -> Long,
    ): Result<BudgetLedger, LedgerRefusal> {
        val present = holders[key]
        val isUnconfirmed = needsConfirmation(key, update.knownSequence, update.seenRecoveryBegunAt)
        val isRemoved = present == null && update.knownSequence > 0 && !isUnconfirmed
        if (isRemoved || present?.isEnded == true) return Err(LedgerRefusal.HolderEnded(key))
        if (present == null && holders.size >= MAX_HOLDERS) return Err(LedgerRefusal.TooManyHolders)
        if (isUnconfirmed) return Ok(confirmed(key, update).recoveredIf(update.mayEndRecovery))
        if (present != null && present.sequence != update.knownSequence) return Ok(this)
        val entry = present ?: HolderEntry(confirmedEnds = endCount, confirmedAt = recoveryBegunAt)
        val reported =
            copy(holders = holders.put(key, entry))
                .recorded(key, update)
                .withEntryChanged(key) {
                    it.copy(reportedSpentTokens = maxOf(it.reportedSpentTokens, update.spentTokens))
                }.recoveredIf(update.mayEndRecovery)
        val grant = grantSize(reported.balanceFor(key)).coerceIn(0, maxOf(0, reported.freeTokens))
        val next =
            reported.withEntryChanged(key) {
                it.copy(grantedTokens = it.grantedTokens + grant, acquiredTokens = it.acquiredTokens + grant)
            }
        if (present != null && next == this) return Ok(this)
        return Ok(
            next.withEntryChanged(key) {
                it.copy(sequence = it.sequence + 1, demandTokensPerSecond = update.demandTokensPerSecond)
            },
        )
    }

    private fun recoveredIf(mayEndRecovery: Boolean): BudgetLedger =
        if (mayEndRecovery) recoveredIfConfirmed() else this

    /**
     * Closes the entry of [holder] at its own request: its spend is settled and the remainder becomes free.
     *
     * An entry that a restore of the store has lost is settled too, unless [closedHolders] has it.
     */
    fun close(
        holder: Incarnation,
        update: HolderUpdate,
    ): BudgetLedger =
        if (needsConfirmation(holder.key, update.knownSequence, update.seenRecoveryBegunAt)) {
            confirmed(holder.key, update).closeConfirmed(holder, update)
        } else {
            closeConfirmed(holder, update)
        }

    private fun closeConfirmed(
        holder: Incarnation,
        update: HolderUpdate,
    ): BudgetLedger {
        val entry = holders[holder.key]
        if (entry == null || entry.isEnded) return this
        // A write that the holder has not seen may have recorded the totals of its pairs with closed receivers and
        // dropped the pairs.
        val sent =
            update.sentTokens
                .filterKeys {
                    it in holders ||
                        pairKey(
                            holder.key,
                            it,
                        ) in transfers
                }.toPersistentMap()
        val recorded = recorded(holder.key, update.copy(sentTokens = sent))
        return recorded
            .copy(
                settledTokens = recorded.settledTokens + update.spentTokens,
                holders = recorded.holders.remove(holder.key),
            ).withNegativeRemainder(
                holder.key,
                recorded.holders.getValue(holder.key).grantedTokens - update.spentTokens,
            ).withClosedHolders(mapOf(holder.key to update.spentTokens))
            .normalised()
    }

    /**
     * Ends the entry of [holder], whose process is known to have ended, with the larger of its reported spend and
     * [replicatedSpentTokens]. The remainder is freed when every open holder has confirmed its transfers with [holder].
     *
     * With [PredecessorSpendLookup.WHOLE_GRANT] nothing is freed, and transfers to [holder] that are recorded later
     * count as spent too. During a recovery the tokens that are withheld at its end are then written off as well, if
     * [holder] has not confirmed its totals: the lost writes can have granted it no more than these.
     */
    fun reclaim(
        holder: Incarnation,
        replicatedSpentTokens: Long,
    ): Result<BudgetLedger, LedgerRefusal> {
        val entry = holders[holder.key] ?: return Err(LedgerRefusal.UnknownHolder(holder.key))
        if (entry.isEnded) return Ok(this)
        val isWrittenOff = replicatedSpentTokens == PredecessorSpendLookup.WHOLE_GRANT
        val spentTokens =
            maxOf(entry.reportedSpentTokens, if (isWrittenOff) entry.grantedTokens else replicatedSpentTokens)
        val ended =
            entry.copy(
                grantedTokens = entry.grantedTokens - spentTokens,
                reportedSpentTokens = spentTokens,
                endNumber = endCount + 1,
                isWrittenOff = isWrittenOff,
            )
        return Ok(
            copy(
                settledTokens = settledTokens + spentTokens,
                writtenOffTokens = writtenOffTokens + if (isWrittenOff) spentTokens - entry.reportedSpentTokens else 0,
                holders = holders.put(holder.key, ended),
                endCount = endCount + 1,
                isWithheldLost = isWithheldLost || (isWrittenOff && entry.confirmedAt != recoveryBegunAt),
            ).normalised(),
        )
    }

    internal fun withClosedHolders(settledTokens: Map<String, Long>): BudgetLedger =
        if (settledTokens.isEmpty()) {
            this
        } else {
            copy(closedHolders = closedHolders.putAll(settledTokens).lastEntries(MAX_CLOSED_HOLDERS))
        }

    private fun recorded(
        key: String,
        update: HolderUpdate,
    ): BudgetLedger {
        var next = this
        update.receivedTokens.forEach { (sender, total) -> next = next.withTransferTotal(sender, key, total) }
        update.sentTokens.forEach { (receiver, total) -> next = next.withTransferTotal(key, receiver, total) }
        // End numbers are given out again after a restore.
        val seenEnds = if (update.seenRecoveryBegunAt == recoveryBegunAt) update.confirmedEnds else 0
        next =
            next.withEntryChanged(key) {
                val differenceTokens = maxOf(0, update.returnedTokens - it.returnedTokens)
                it.copy(
                    grantedTokens = it.grantedTokens - differenceTokens,
                    returnedTokens = it.returnedTokens + differenceTokens,
                    confirmedEnds = maxOf(it.confirmedEnds, seenEnds),
                )
            }
        // A peer that has no entry during a recovery may still confirm its totals.
        val closed = if (isRecovering) emptyList() else update.closedPeers.filter { it !in next.holders }
        val kept =
            closed.fold(
                next.transfers,
            ) { pairs, peer -> pairs.remove(pairKey(key, peer)).remove(pairKey(peer, key)) }
        return next.copy(transfers = kept).normalised()
    }

    /**
     * Raises the total of a pair to [totalTokens] and moves the difference between the entries.
     *
     * A sender without an entry recorded its final totals when it closed the entry. Tokens sent to a closed receiver
     * become free, because the receiver cannot have accepted them.
     *
     * @param isUnknownSenderRecorded whether the total of a sender without an entry is recorded, because a restore of
     * the store may have lost the entry.
     */
    internal fun withTransferTotal(
        sender: String,
        receiver: String,
        totalTokens: Long,
        isUnknownSenderRecorded: Boolean = false,
    ): BudgetLedger {
        val name = pairKey(sender, receiver)
        val differenceTokens = totalTokens - (transfers[name] ?: 0)
        if (differenceTokens <= 0 || (sender !in holders && !isUnknownSenderRecorded)) return this
        val moved =
            copy(transfers = transfers.put(name, totalTokens))
                .withEntryChanged(sender) { it.copy(grantedTokens = it.grantedTokens - differenceTokens) }
        if (holders[receiver]?.isWrittenOff == true) return moved.writtenOff(receiver, differenceTokens)
        return moved
            .withEntryChanged(receiver) { it.copy(grantedTokens = it.grantedTokens + differenceTokens) }
    }

    private fun writtenOff(
        key: String,
        tokens: Long,
    ): BudgetLedger =
        copy(settledTokens = settledTokens + tokens, writtenOffTokens = writtenOffTokens + tokens)
            .withEntryChanged(key) { it.copy(reportedSpentTokens = it.reportedSpentTokens + tokens) }

    private fun withEntryChanged(
        key: String,
        change: (HolderEntry) -> HolderEntry,
    ): BudgetLedger {
        val entry = holders[key] ?: return this
        val next = change(entry)
        return if (next == entry) this else copy(holders = holders.put(key, next))
    }

    /**
     * Keeps an ended entry with a negative remainder: its spend is covered by a transfer that is not recorded yet,
     * whose tokens still count as the sender's.
     */
    private fun withNegativeRemainder(
        key: String,
        remainderTokens: Long,
    ): BudgetLedger =
        if (remainderTokens >= 0) {
            this
        } else {
            copy(
                holders = holders.put(key, HolderEntry(remainderTokens, endNumber = endCount + 1)),
                endCount =
                    endCount + 1,
            )
        }

    /**
     * Frees the remainders of ended holders that all open holders have confirmed, covers negative remainders of ended
     * holders from free tokens, and drops pairs of which both holders are closed.
     *
     * Negative remainders are covered in the same step that frees tokens: until they are covered, the sum of the grants
     * is smaller than what may be spent, and the difference must not be granted again.
     */
    private fun normalised(): BudgetLedger {
        val confirmed = holders.values.filter { !it.isEnded }.minOfOrNull { it.confirmedEnds } ?: endCount
        val isFreed = { entry: HolderEntry -> entry.endNumber in 1..confirmed && entry.grantedTokens >= 0 }
        var kept = holders.filterValues { !isFreed(it) }
        var free = paidTokens - settledTokens - kept.values.sumOf { it.grantedTokens }
        if (kept.values.any { it.isEnded && it.grantedTokens < 0 }) {
            val covered =
                kept.mapValues { (_, entry) ->
                    val cover = if (entry.isEnded) minOf(maxOf(0, free), maxOf(0, -entry.grantedTokens)) else 0
                    free -= cover
                    entry.copy(grantedTokens = entry.grantedTokens + cover)
                }
            kept = covered.filterValues { !isFreed(it) }
        }
        val pairs =
            transfers.filterKeys {
                it.substringBefore(
                    SEPARATOR,
                ) in kept ||
                    it.substringAfter(SEPARATOR) in kept
            }
        return if (kept == holders && pairs.size == transfers.size) {
            this
        } else {
            copy(holders = kept.toPersistentMap(), transfers = pairs.toPersistentMap())
                .withClosedHolders(
                    (holders - kept.keys)
                        .filterKeys {
                            it !in closedHolders
                        }.mapValues { it.value.reportedSpentTokens },
                )
        }
    }

    companion object {
        /** With the largest entries, pairs and identities the object has about 760 KB; the platform's limit is 1 MB. */
        const val MAX_HOLDERS: Int = 600

        /** More than a fleet closes within the age of a copy of the store; about 3 KB. */
        const val MAX_CLOSED_HOLDERS: Int = 100

        /** About 100 KB of identities; at one top-up a day this is almost three years. */
        const val MAX_TOP_UPS: Int = 1_000

        /** Keeps sums of thousands of top-ups far below the range of a Long. */
        const val MAX_TOP_UP_TOKENS: Long = 1_000_000_000_000_000

        private const val SEPARATOR = '>'

        /** The key of an ordered pair in [transfers]. */
        fun pairKey(
            sender: String,
            receiver: String,
        ): String = "$sender$SEPARATOR$receiver"
    }
}
