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
 * The tokens of one workspace's budget that one router incarnation holds.
 *
 * Grants and transfers are kept as cumulative totals, and the highest total counts, so that a grant or transfer seen
 * twice is credited once.
 *
 * @property acquiredTokens cumulative tokens granted by the platform, as last seen.
 * @property receivedTokens cumulative tokens received from each peer, by holder key.
 * @property sentTokens cumulative tokens sent to each peer, by holder key.
 * @property closedPeersNetTokens net tokens exchanged with closed peers whose totals were dropped.
 * @property returnedTokens cumulative tokens returned to the ledger; deducted here before the ledger is written.
 * @property reservations tokens by reservation number.
 * @property sequence the number of this holder's last write that was seen in the ledger; 0 when it has no entry yet.
 * @property version the version of the ledger last seen.
 * @property seenEndCount [BudgetLedger.endCount] as last seen.
 * @property openPeers other holders with an open entry in the ledger as last seen, which can be asked for tokens. The
 * value is the unspent tokens in the ledger or in a later response of the peer.
 * @property closedPeers peers with totals in this account and without an entry in the ledger as last seen.
 * @property closedPeersInWrite the [closedPeers] that the last write contained.
 * @property droppedPeers the last [MAX_DROPPED_PEERS] peers in [closedPeersNetTokens]. A restored ledger can have their
 * totals again, which must not be credited twice.
 * @property closedHolders [BudgetLedger.closedHolders] as last seen.
 * @property recoveryBegunAt [BudgetLedger.recoveryBegunAt] as of the last ledger that had this holder's confirmed entry.
 */
data class LocalAccount(
    val holder: Incarnation,
    val acquiredTokens: Long = 0,
    val receivedTokens: PersistentMap<String, Long> = persistentMapOf(),
    val sentTokens: PersistentMap<String, Long> = persistentMapOf(),
    val closedPeersNetTokens: Long = 0,
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
    val seenEndCount: Long = 0,
    val openPeers: PersistentMap<String, Long> = persistentMapOf(),
    val closedPeers: PersistentSet<String> = persistentSetOf(),
    val closedPeersInWrite: PersistentSet<String> = persistentSetOf(),
    val droppedPeers: PersistentMap<String, PeerTotals> = persistentMapOf(),
    val closedHolders: PersistentMap<String, Long> = persistentMapOf(),
    val recoveryBegunAt: ObjectVersion = ObjectVersion.NONE,
) {
    /** The tokens granted and received less those sent and returned; includes the spent ones. */
    val grantedTokens: Long
        get() =
            acquiredTokens + receivedTokens.values.sum() - sentTokens.values.sum() + closedPeersNetTokens -
                returnedTokens

    /** The tokens that can be reserved, sent or returned now. */
    val availableTokens: Long get() = grantedTokens - spentTokens - reservedTokens

    /** Whether the account is open and had an entry in the ledger as last seen. */
    val isOpenInLedger: Boolean get() = state == AccountState.OPEN && sequence > 0

    /** Adds [tokens] to the demand, whether or not they are then reserved. */
    fun withDemand(
        tokens: Long,
        nowMillis: Long,
        windowMillis: Long,
    ): LocalAccount = copy(demand = demand.plus(tokens, nowMillis, windowMillis))

    /** Reserves [tokens] under [nextReservation], or returns null when they are not available. */
    fun reserve(tokens: Long): LocalAccount? {
        require(tokens >= 0) { "the number of tokens to reserve must not be negative: $tokens" }
        if (state != AccountState.OPEN || tokens > availableTokens) return null
        return copy(
            reservations = reservations.put(nextReservation, tokens),
            reservedTokens = reservedTokens + tokens,
            nextReservation = nextReservation + 1,
        )
    }

    /**
     * Charges [usedTokens], at most the reserved tokens, and releases the rest; returns this account when [number] is
     * settled.
     */
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

    /** Deducts [tokens] for [receiver]; the response to the receiver has the new total of the pair. */
    fun send(
        receiver: String,
        tokens: Long,
    ): LocalAccount {
        require(tokens in 0..availableTokens) { "cannot send $tokens tokens: $availableTokens are available" }
        if (tokens == 0L) return this
        return copy(sentTokens = sentTokens.put(receiver, (sentTokens[receiver] ?: 0) + tokens))
    }

    /** Deducts [tokens]; the next write to the ledger makes them free. */
    fun returnTokens(tokens: Long): LocalAccount {
        require(tokens in 0..availableTokens) { "cannot return $tokens tokens: $availableTokens are available" }
        return copy(returnedTokens = returnedTokens + tokens)
    }

    /**
     * The tokens to send to [receiver] on its [request]. Tokens sent before that it has not seen yet count towards its
     * need.
     */
    internal fun sendableTokens(
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
            needTokens <= availableTokens ->
                minOf(
                    availableTokens,
                    maxOf(needTokens, minOf(request.wantedTokens, shareTokens)),
                )
            // With a smaller amount the tokens would stay spread over peers, each with too few for a request.
            else -> maxOf(0, availableTokens)
        }
    }

    /**
     * Credits the total of the pair from a response of [sender].
     *
     * A holder without an entry accepts no tokens, and no tokens are accepted from a sender that is closed or ended in
     * the ledger: the ledger frees the remainder of an ended sender once all holders with an entry have confirmed their
     * totals.
     */
    fun receive(
        sender: String,
        totalTokens: Long,
    ): LocalAccount =
        if (state != AccountState.OPEN ||
            sequence == 0L ||
            sender !in openPeers
        ) {
            this
        } else {
            credited(sender, totalTokens)
        }

    /** Sets the [unspentTokens] of [peer], by which the order of requests to peers is chosen. */
    fun withPeerTokens(
        peer: String,
        unspentTokens: Long,
    ): LocalAccount = if (peer in openPeers) copy(openPeers = openPeers.put(peer, unspentTokens)) else this

    /**
     * Applies [ledger] as read at [version], unless that version is not newer than the one last seen.
     *
     * A restored ledger credits nothing before it has the confirmed entry of this holder.
     */
    fun observe(
        ledger: BudgetLedger,
        version: ObjectVersion,
    ): LocalAccount {
        if (version <= this.version) return this
        if (!ledger.isWrittenInEraOf(version) || ledger.needsConfirmation(holder.key, sequence, recoveryBegunAt)) {
            return copy(version = version)
        }
        if (recoveryBegunAt == ledger.recoveryBegunAt) return observeConfirmed(ledger, version)
        return withDroppedPeers().copy(recoveryBegunAt = ledger.recoveryBegunAt).observeConfirmed(ledger, version)
    }

    private fun observeConfirmed(
        ledger: BudgetLedger,
        version: ObjectVersion,
    ): LocalAccount {
        val open = ledger.holders.filter { !it.value.isEnded && it.key != holder.key }
        val entry = ledger.holders[holder.key]
        val unspent = open.mapValues { it.value.grantedTokens - it.value.reportedSpentTokens }.toPersistentMap()
        val seen =
            copy(
                version = version,
                seenEndCount = ledger.endCount,
                openPeers = unspent,
                closedHolders = ledger.closedHolders,
            )
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
            if (pair.endsWith(BudgetLedger.pairKey("", holder.key))) {
                next = next.credited(pair.removeSuffix(BudgetLedger.pairKey("", holder.key)), totalTokens)
            }
        }
        return next.withoutClosedPeers(ledger, isWriteSeen = entry.sequence > sequence)
    }

    /** The update that records this account in the ledger. */
    fun update(): HolderUpdate =
        HolderUpdate(
            knownSequence = sequence,
            spentTokens = spentTokens,
            receivedTokens = receivedTokens,
            sentTokens = sentTokens,
            returnedTokens = returnedTokens,
            confirmedEnds = seenEndCount,
            closedPeers = closedPeers,
            demandTokensPerSecond = demand.tokensPerSecond,
            totals = totals(),
            seenRecoveryBegunAt = recoveryBegunAt,
        )

    private fun totals(): HolderTotals {
        // Peers exchange tokens with this holder before it sees their entry in the ledger.
        val peers = openPeers.keys + receivedTokens.keys + sentTokens.keys - droppedPeers.keys
        val all = withDroppedPeers()
        return HolderTotals(
            grantedTokens,
            acquiredTokens,
            all.receivedTokens,
            all.sentTokens,
            peers.toPersistentSet(),
            closedHolders,
        )
    }

    /** Takes the totals of [droppedPeers] up again. */
    private fun withDroppedPeers(): LocalAccount {
        val received = droppedPeers.mapValues { it.value.receivedTokens }.filterValues { it > 0 }
        val sent = droppedPeers.mapValues { it.value.sentTokens }.filterValues { it > 0 }
        return copy(
            receivedTokens = receivedTokens.putAll(received),
            sentTokens = sentTokens.putAll(sent),
            closedPeersNetTokens =
                closedPeersNetTokens - droppedPeers.values.sumOf { it.receivedTokens - it.sentTokens },
            closedPeersInWrite = persistentSetOf(),
            droppedPeers = persistentMapOf(),
        )
    }

    /** Marks [update] as being written, so that its effect is recognised when the ledger has the next sequence. */
    fun withWriteStarted(): LocalAccount = copy(closedPeersInWrite = closedPeers)

    /**
     * Starts the close of this account. Open reservations are charged in full: their requests may still use all their
     * tokens, and nothing can be charged after the close.
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

    /** Makes the close of this account due again, since a restore of the store may have undone it. */
    internal fun closingAgain(): LocalAccount =
        if (state == AccountState.CLOSED) copy(state = AccountState.CLOSING) else this

    private fun credited(
        sender: String,
        totalTokens: Long,
    ): LocalAccount =
        if (totalTokens <= (receivedTokens[sender] ?: 0)) {
            this
        } else {
            copy(receivedTokens = receivedTokens.put(sender, totalTokens))
        }

    /**
     * Drops the totals of closed peers once a write has recorded the final ones, and lists the other closed peers for
     * the next write.
     */
    private fun withoutClosedPeers(
        ledger: BudgetLedger,
        isWriteSeen: Boolean,
    ): LocalAccount {
        val recorded: Collection<String> =
            if (!isWriteSeen || ledger.isRecovering) {
                persistentSetOf()
            } else {
                closedPeersInWrite.filter { peer ->
                    peer !in ledger.holders &&
                        BudgetLedger.pairKey(peer, holder.key) !in ledger.transfers &&
                        BudgetLedger.pairKey(holder.key, peer) !in ledger.transfers
                }
            }
        val dropped = recorded.associateWith { PeerTotals(receivedTokens[it] ?: 0, sentTokens[it] ?: 0) }
        val folded = recorded.sumOf { (receivedTokens[it] ?: 0) - (sentTokens[it] ?: 0) }
        val received = recorded.fold(receivedTokens) { totals, peer -> totals.remove(peer) }
        val sent = recorded.fold(sentTokens) { totals, peer -> totals.remove(peer) }
        return copy(
            receivedTokens = received,
            sentTokens = sent,
            closedPeersNetTokens = closedPeersNetTokens + folded,
            droppedPeers = droppedPeers.putAll(dropped).lastEntries(MAX_DROPPED_PEERS),
            closedPeers = (received.keys + sent.keys).filter { it !in ledger.holders }.toPersistentSet(),
            closedPeersInWrite = if (isWriteSeen) persistentSetOf() else closedPeersInWrite,
        )
    }

    companion object {
        /**
         * Limits the pairs in a ledger: [BudgetLedger.MAX_HOLDERS] holders with eight receivers each need about 350 KB.
         * A receiver beyond the limit gets no tokens from this holder and asks other peers.
         */
        const val MAX_RECEIVERS: Int = 8

        /** More than the peers that close within the age of a copy of the store. */
        const val MAX_DROPPED_PEERS: Int = 256
    }
}
