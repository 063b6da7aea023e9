package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.store.ObjectVersion
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet

/**
 * What one router incarnation holds of one workspace's budget.
 *
 * Grants and transfers are kept as cumulative totals and credited by maximum, so that one seen twice is credited once.
 *
 * @property acquiredTokens cumulative tokens granted by the platform, as last seen.
 * @property foldedTokens net tokens exchanged with peers whose totals were dropped.
 * @property returnedTokens cumulative tokens given back to the ledger; lowered here before the ledger is told.
 * @property reservations tokens by reservation number.
 * @property sequence this holder's last write seen in the ledger.
 * @property openPeers other holders with an open entry in the version last seen, which can be asked for tokens, with the
 * unspent tokens that the ledger or a later answer of theirs showed.
 * @property gonePeers peers with totals here and no entry in the version last seen.
 */
data class LocalAccount(
    val holder: Incarnation,
    val acquiredTokens: Long = 0,
    val receivedTokens: PersistentMap<String, Long> = persistentMapOf(),
    val sentTokens: PersistentMap<String, Long> = persistentMapOf(),
    val foldedTokens: Long = 0,
    val returnedTokens: Long = 0,
    val spentTokens: Long = 0,
    val reservations: PersistentMap<Long, Long> = persistentMapOf(),
    val reservedTokens: Long = 0,
    val nextReservation: Long = 1,
    val demand: DemandRate = DemandRate(),
    val state: AccountState = AccountState.OPEN,
    val sequence: Long = 0,
    val version: ObjectVersion = ObjectVersion.NONE,
    val reportedSpentTokens: Long = 0,
    val seenEnds: Long = 0,
    val openPeers: PersistentMap<String, Long> = persistentMapOf(),
    val gonePeers: PersistentSet<String> = persistentSetOf(),
    val writingGonePeers: PersistentSet<String> = persistentSetOf(),
) {
    /** All tokens this holder was given less those it gave away, spent ones included. */
    val grantedTokens: Long
        get() = acquiredTokens + receivedTokens.values.sum() - sentTokens.values.sum() + foldedTokens - returnedTokens

    /** Tokens that can be reserved or sent now. */
    val availableTokens: Long get() = grantedTokens - spentTokens - reservedTokens

    /** Counts [tokens] as asked for, whether they are then reserved or not. */
    fun demanded(
        tokens: Long,
        nowMillis: Long,
        windowMillis: Long,
    ): LocalAccount = copy(demand = demand.plus(tokens, nowMillis, windowMillis))

    /** Reserves [tokens] under [nextReservation], or returns null when they are not available. */
    fun reserve(tokens: Long): LocalAccount? {
        require(tokens >= 0) { "a reservation of $tokens tokens is negative" }
        if (state != AccountState.OPEN || tokens > availableTokens) return null
        return copy(
            reservations = reservations.put(nextReservation, tokens),
            reservedTokens = reservedTokens + tokens,
            nextReservation = nextReservation + 1,
        )
    }

    /** Charges [usedTokens], at most the reservation, and releases the rest; the same account when [number] is settled. */
    fun settle(
        number: Long,
        usedTokens: Long,
    ): LocalAccount {
        val tokens = reservations[number] ?: return this
        return copy(
            reservations = reservations.remove(number),
            reservedTokens = reservedTokens - tokens,
            spentTokens = spentTokens + usedTokens.coerceIn(0, tokens),
        )
    }

    /** Gives [tokens] to [receiver]; the answer to it carries the new total of the pair. */
    fun send(
        receiver: String,
        tokens: Long,
    ): LocalAccount {
        require(tokens in 0..availableTokens) { "can't send $tokens of $availableTokens tokens" }
        if (tokens == 0L) return this
        return copy(sentTokens = sentTokens.put(receiver, (sentTokens[receiver] ?: 0) + tokens))
    }

    /** Gives [tokens] back; the next write to the ledger makes them free. */
    fun returning(tokens: Long): LocalAccount {
        require(tokens in 0..availableTokens) { "can't return $tokens of $availableTokens tokens" }
        return copy(returnedTokens = returnedTokens + tokens)
    }

    /**
     * How many tokens [receiver] gets on its [request]. What was sent and not seen by it yet counts towards its need.
     */
    internal fun sendable(
        receiver: String,
        request: TransferRequest,
        fraction: Double,
    ): Long {
        val hasRoom = receiver in sentTokens || sentTokens.size < MAX_RECEIVERS
        if (state != AccountState.OPEN || !hasRoom) return 0
        val unseenTokens = maxOf(0, (sentTokens[receiver] ?: 0) - request.seenTotalTokens)
        val needTokens = request.neededTokens - unseenTokens
        val shareTokens = (maxOf(0, availableTokens) * fraction).toLong()
        return when {
            needTokens <= 0 -> 0
            needTokens <= availableTokens -> minOf(availableTokens, maxOf(needTokens, minOf(request.wantedTokens, shareTokens)))
            // A part would leave the rest of the need spread over peers that each keep too little for a request.
            else -> maxOf(0, availableTokens)
        }
    }

    /**
     * Takes over the total of the pair that [sender] answered.
     *
     * A holder without an entry takes nothing, and nothing is taken from a sender that the ledger shows as closed or
     * ended: the ledger frees the remainder of an ended sender once all holders with an entry have confirmed their totals.
     */
    fun receive(
        sender: String,
        totalTokens: Long,
    ): LocalAccount =
        if (state != AccountState.OPEN || sequence == 0L || sender !in openPeers) this else credited(sender, totalTokens)

    /** Notes that [peer] has [unspentTokens] left, so that one with more is asked first. */
    fun heard(
        peer: String,
        unspentTokens: Long,
    ): LocalAccount = if (peer in openPeers) copy(openPeers = openPeers.put(peer, unspentTokens)) else this

    /** Takes over what [ledger] shows at [version]; an older version than the one last seen changes nothing. */
    fun observe(
        ledger: BudgetLedger,
        version: ObjectVersion,
    ): LocalAccount {
        if (version <= this.version) return this
        val open = ledger.holders.filter { !it.value.isEnded && it.key != holder.key }
        val entry = ledger.holders[holder.key]
        val unspent = open.mapValues { it.value.grantedTokens - it.value.reportedSpentTokens }.toPersistentMap()
        val seen = copy(version = version, seenEnds = ledger.endCount, openPeers = unspent)
        if (entry == null || entry.isEnded) {
            val isOwnEnd = state == AccountState.CLOSING || state == AccountState.CLOSED
            return if (sequence == 0L || isOwnEnd) seen else seen.copy(state = AccountState.ENDED)
        }
        var next =
            seen.copy(
                acquiredTokens = maxOf(acquiredTokens, entry.acquiredTokens),
                sequence = maxOf(sequence, entry.sequence),
                reportedSpentTokens = maxOf(reportedSpentTokens, entry.reportedSpentTokens),
            )
        ledger.transfers.forEach { (pair, totalTokens) ->
            if (pair.endsWith(BudgetLedger.pair("", holder.key))) {
                next = next.credited(pair.removeSuffix(BudgetLedger.pair("", holder.key)), totalTokens)
            }
        }
        return next.withoutGonePeers(ledger, isWriteSeen = entry.sequence > sequence)
    }

    /** The write that brings the ledger up to date with this account. */
    fun update(): HolderUpdate =
        HolderUpdate(
            knownSequence = sequence,
            spentTokens = spentTokens,
            receivedTokens = receivedTokens,
            sentTokens = sentTokens,
            returnedTokens = returnedTokens,
            confirmedEnds = seenEnds,
            gonePeers = gonePeers,
        )

    /** Notes that [update] is being written, so that its effect is recognised when the ledger shows the next sequence. */
    fun writing(): LocalAccount = copy(writingGonePeers = gonePeers)

    /**
     * Ends this account for good. Open reservations are charged in full: their requests may use them up, and after the
     * close nothing can be charged.
     */
    fun closing(): LocalAccount =
        if (state == AccountState.CLOSING || state == AccountState.CLOSED) {
            this
        } else {
            copy(
                state = if (state == AccountState.ENDED) AccountState.ENDED else AccountState.CLOSING,
                spentTokens = spentTokens + reservedTokens,
                reservedTokens = 0,
                reservations = persistentMapOf(),
            )
        }

    private fun credited(
        sender: String,
        totalTokens: Long,
    ): LocalAccount =
        if (totalTokens <= (receivedTokens[sender] ?: 0)) this else copy(receivedTokens = receivedTokens.put(sender, totalTokens))

    /** Drops the totals of gone peers once a write has recorded the final ones, and lists the others for the next write. */
    private fun withoutGonePeers(
        ledger: BudgetLedger,
        isWriteSeen: Boolean,
    ): LocalAccount {
        val recorded: Collection<String> =
            if (!isWriteSeen) {
                persistentSetOf()
            } else {
                writingGonePeers.filter { peer ->
                    peer !in ledger.holders &&
                        BudgetLedger.pair(peer, holder.key) !in ledger.transfers &&
                        BudgetLedger.pair(holder.key, peer) !in ledger.transfers
                }
            }
        val folded = recorded.sumOf { (receivedTokens[it] ?: 0) - (sentTokens[it] ?: 0) }
        val received = recorded.fold(receivedTokens) { totals, peer -> totals.remove(peer) }
        val sent = recorded.fold(sentTokens) { totals, peer -> totals.remove(peer) }
        return copy(
            receivedTokens = received,
            sentTokens = sent,
            foldedTokens = foldedTokens + folded,
            gonePeers = (received.keys + sent.keys).filter { it !in ledger.holders }.toPersistentSet(),
            writingGonePeers = if (isWriteSeen) persistentSetOf() else writingGonePeers,
        )
    }

    companion object {
        /**
         * Bounds the pairs in a ledger: the largest number of holders with eight receivers each needs about 350 KB. A
         * receiver beyond it asks other peers.
         */
        const val MAX_RECEIVERS: Int = 8
    }
}
