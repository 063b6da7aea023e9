package io.limpetfold.budget

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * Spends prepaid budgets on behalf of one router process.
 *
 * Safe for concurrent use; callers' threads are blocked only for short critical sections. The constructor registers the
 * handler of the transfer topic with [peers].
 *
 * An account that was evicted because it was idle is opened again under a new holder: peers may still have transfer
 * totals of the closed holder, which must not be credited to the new one. The number of the new holder is that of
 * [self] plus the number of accounts evicted before, at most one for each workspace of a maintenance round.
 *
 * @param self the incarnation of this process. It must never be reused after the process has ended, and the number of a
 * later process must be larger than those of all earlier holders of the instance. A start time in milliseconds meets
 * both conditions.
 * @param policyOf the policy of a workspace; called for each synchronisation with the ledger, so that a changed policy
 * applies from the next one.
 * @param maxWorkspacesPerRound the maximum number of workspaces for which one round of maintenance calls the platform.
 * With one round a second, a value of 1 keeps 330 routers below the several hundred writes a second that the platform
 * accepts.
 * @param paidTotalOf the paid total of a workspace where the configuration sets it; null where top-ups do.
 * @param predecessorSpendLookup finds the spend of earlier incarnations of the instance, with which their entries are closed.
 * They have ended, because a new process of the instance binds the same address.
 * @param confirmationsPerRound the maximum number of accounts that one round of maintenance confirms after a restore of
 * the store; the tokens that nobody holds are withheld until all routers have confirmed their accounts.
 * @param witnessCandidates the routers to which the accounts announce how many tokens they may acquire, so that these
 * are known after a restore of the store.
 */
class BudgetAgent(
    private val self: Incarnation,
    store: ObjectStore,
    peers: PeerNetwork,
    private val policyOf: (WorkspaceId) -> BudgetPolicy = { BudgetPolicy.availability },
    timeSource: TimeSource = TimeSource.Monotonic,
    random: Random = Random.Default,
    private val listener: BudgetListener = BudgetListener.NONE,
    private val maxWorkspacesPerRound: Int = 1,
    predecessorSpendLookup: PredecessorSpendLookup = PredecessorSpendLookup.NONE,
    paidTotalOf: (WorkspaceId) -> PaidTotal? = { null },
    private val confirmationsPerRound: () -> Int = { maxWorkspacesPerRound },
    witnessCandidates: WitnessCandidates = WitnessCandidates.connectedTo(peers),
) {
    private val start = timeSource.markNow()
    private val slots = ConcurrentHashMap<WorkspaceId, AccountSlot>()

    @Volatile
    private var isClosed = false

    private val ceilingRecords = CeilingRecords(::nowMillis)
    private val announcer = CeilingAnnouncer(self, peers, witnessCandidates, ::nowMillis)
    private val ledgerSync =
        LedgerSync(
            self,
            store,
            policyOf,
            paidTotalOf,
            listener,
            { isClosed },
            ::nowMillis,
            announcer::headroomTokens,
            ceilingRecords::witnessed,
        ) { reopenClosed(it) }
    private val ceilingSync = CeilingSync(ledgerSync, announcer)
    private val transfers = PeerTransfers(self, peers, random, listener) { slots[it] }
    private val refills = AccountRefill(ledgerSync, ceilingSync, transfers, ::nowMillis)
    private val maintenance =
        AccountMaintenance(
            slots,
            store,
            ledgerSync,
            ceilingSync,
            refills,
            predecessorSpendLookup,
            listener,
            random,
            ::nowMillis,
            ::openWitnessed,
        )

    init {
        require(maxWorkspacesPerRound > 0) { "maxWorkspacesPerRound must be positive" }
        peers.registerHandler(TRANSFER_TOPIC) { from, message -> transfers.handleRequest(from, message) }
        peers.registerHandler(CEILING_TOPIC) { from, message -> acknowledge(from, message) }
    }

    /**
     * Reserves [tokens] for one run of [request].
     *
     * Tries the local account, then the platform, then peers, and waits up to [maxWait] for tokens to become available.
     * With a [maxWait] of zero it makes one attempt and waits only for the calls of that attempt. Two calls for the
     * same request are two runs with a reservation each.
     *
     * @param maxTokens the maximum to reserve when the account can spare more than [tokens], as for a loan that serves
     * several runs at the borrower. The account spares nothing while other callers wait for tokens.
     */
    suspend fun reserve(
        workspace: WorkspaceId,
        request: RequestId,
        tokens: Long,
        maxWait: Duration,
        maxTokens: Long = tokens,
    ): Result<Reservation, BudgetRefusal> {
        require(tokens >= 0) { "the number of tokens to reserve must not be negative: $tokens" }
        val slot =
            enter(workspace)
                ?: return refused(
                    if (isClosed) {
                        BudgetRefusal.RouterClosed(workspace, policyOf(workspace).maxRetryDelay)
                    } else {
                        BudgetRefusal.UnknownWorkspace(workspace, policyOf(workspace).maxRetryDelay)
                    },
                )
        return try {
            slot.change { it.withDemand(tokens, nowMillis(), slot.policy.demandWindow.toMillis()) }
            tryReserve(slot, request, tokens, maxTokens)?.let { Ok(it) }
                ?: waitForTokens(slot, request, tokens, maxWait)
        } finally {
            slot.leave(nowMillis())
        }
    }

    /**
     * Opens the account of [workspace] before its first request, with the tokens that the policy holds for unknown
     * demand.
     *
     * An account without an entry in the ledger accepts no tokens from peers, so an account that is opened during an
     * outage of the platform has no tokens until the outage ends.
     *
     * @return whether the ledger has an entry of the account.
     */
    suspend fun openAccount(workspace: WorkspaceId): Boolean {
        val slot = enter(workspace) ?: return false
        return try {
            if (slot.locked { account.sequence } > 0) return true
            ceilingSync.synchronise(slot, 0) { account, balance -> refills.grantFor(slot, 0, account, balance) }
            slot.locked { account.sequence } > 0
        } finally {
            slot.leave(nowMillis())
        }
    }

    private suspend fun waitForTokens(
        slot: AccountSlot,
        request: RequestId,
        tokens: Long,
        maxWait: Duration,
    ): Result<Reservation, BudgetRefusal> {
        slot.locked { waitingTokens += tokens }
        return try {
            awaitTokens(slot, request, tokens, maxWait.toMillis())
        } finally {
            slot.locked { waitingTokens -= tokens }
        }
    }

    /**
     * Charges [usedTokens], at most the reserved tokens, and releases the rest; idempotent.
     *
     * A call after [close] charges nothing, because [close] has charged open reservations in full.
     */
    fun settle(
        reservation: Reservation,
        usedTokens: Long,
    ): Settlement {
        check(
            reservation.holder.instance == self.instance,
        ) { "reservation ${reservation.number} belongs to another agent" }
        val slot = slots[reservation.workspace]?.takeIf { it.holder == reservation.holder }
        // An account is evicted only when all its reservations are settled.
        if (slot == null) return Settlement(reservation.holder, 0, 0, 0, isRepeated = true)
        var before: LocalAccount? = null
        val after =
            slot.change {
                before = it
                it.settle(reservation.number, usedTokens)
            }
        slot.locked { usedAtMillis = nowMillis() }
        val isRepeated = before === after
        val charged = after.spentTokens - (before?.spentTokens ?: 0)
        return Settlement(
            slot.holder,
            charged,
            if (isRepeated) 0 else reservation.tokens - charged,
            after.spentTokens,
            isRepeated,
        )
    }

    /**
     * Ends the backoff of all workspaces, so that the next attempt calls the platform at once. To be called when the
     * platform is reachable again or when paid totals have changed.
     */
    fun resetPlatformBackoff() {
        ledgerSync.resetPlatformBackoff()
        slots.values.forEach { slot ->
            slot.locked {
                failure = null
                retryDelayMillis = 0
                freeTokensSeen = Long.MAX_VALUE
            }
        }
    }

    /**
     * Makes the synchronisation of all accounts due. To be called when a router has joined, because an account
     * exchanges tokens only with holders that it has seen in the ledger.
     */
    fun requestLedgerSync() = slots.values.forEach { slot -> slot.locked { syncedAtMillis = NEVER_MILLIS } }

    /**
     * Ends all backoffs and makes the confirmation of all accounts due, also of those that were closed recently. To be
     * called when the platform's store was restored from an older copy; does not block.
     */
    fun onStoreRestored() {
        resetPlatformBackoff()
        requestLedgerSync()
        maintenance.onStoreRestored()
    }

    private fun acknowledge(
        from: Incarnation,
        message: CeilingAnnouncement,
    ): CeilingReply {
        val holder = slots[message.workspace]?.let { slot -> slot.locked { account.takeIf { it.isOpenInLedger } } }
        val isRecorded = !isClosed && ceilingRecords.record(from, message)
        return CeilingReply(self, holder?.holder?.key, isRecorded)
    }

    /** Opens the accounts of the workspaces with holders that only this router may know. */
    private fun openWitnessed(): Collection<AccountSlot> =
        ceilingRecords.recentWorkspaces().mapNotNull { workspace ->
            enter(workspace)?.also { it.leave(nowMillis()) }
        }

    private fun reopenClosed(workspace: WorkspaceId) {
        maintenance.reopenClosed(workspace)
    }

    /**
     * Synchronises at most `maxWorkspacesPerRound` accounts with their ledgers, the least recently synchronised ones
     * first.
     *
     * This reports spend, records transfers, reads top-ups, closed peers and unseen transfers, and closes the entry of
     * an earlier incarnation of the instance. Accounts below [BudgetPolicy.refillBelow] are refilled before they run
     * out. Idle accounts return tokens, and are evicted when they have no reservations and no demand.
     */
    suspend fun maintain() {
        if (isClosed) return
        maintenance.maintain(maxWorkspacesPerRound, confirmationsPerRound())
    }

    /**
     * Closes all accounts and returns their unspent tokens; from this call on nothing can be reserved or charged.
     *
     * Can be called again after an error: the tokens of entries that are not closed yet still count as granted.
     */
    suspend fun close(): Result<Unit, StoreError> {
        isClosed = true
        var firstError: StoreError? = null
        val all = slots.values + maintenance.closingSlots
        all.forEach { slot -> slot.change { it.closing() } }
        all.forEach { slot -> ledgerSync.close(slot)?.let { error -> firstError = firstError ?: error } }
        return firstError?.let { Err(it) } ?: Ok(Unit)
    }

    /** The local accounts, ordered by workspace. */
    fun accounts(): ImmutableList<AccountStatus> =
        slots.values
            .map { slot -> status(slot.workspace, slot.locked { account }) }
            .sortedBy { it.workspace.value }
            .toImmutableList()

    private fun status(
        workspace: WorkspaceId,
        account: LocalAccount,
    ) = AccountStatus(
        workspace,
        account.state,
        account.grantedTokens,
        account.spentTokens,
        account.reservedTokens,
        account.availableTokens,
        account.reportedSpentTokens,
        account.demand.tokensPerSecond,
    )

    /** The slot of [workspace], with its caller count raised; null where [slotOf] returns null. */
    private fun enter(workspace: WorkspaceId): AccountSlot? {
        while (true) {
            val slot = slotOf(workspace) ?: return null
            if (slot.enter(nowMillis())) return slot
            slots.remove(workspace, slot)
        }
    }

    /**
     * The slot of [workspace], created on first use; null when the agent is closed or the name is not a valid
     * workspace.
     */
    private fun slotOf(workspace: WorkspaceId): AccountSlot? {
        slots[workspace]?.let { return it }
        if (isClosed) return null
        try {
            BudgetLedgerStore.keyOf(workspace)
        } catch (e: IllegalArgumentException) {
            return null
        }
        return slots.computeIfAbsent(workspace) { AccountSlot(it, nextHolder(), policyOf(it)) }
    }

    private fun nextHolder() = self.copy(number = self.number + maintenance.evictedCount)

    private fun tryReserve(
        slot: AccountSlot,
        request: RequestId,
        tokens: Long,
        maxTokens: Long = tokens,
    ): Reservation? {
        if (isClosed) return null
        return slot.locked {
            val before = account
            val spareTokens = if (waitingTokens > 0) 0 else (before.availableTokens * policy.transferFraction).toLong()
            val reservedTokens = maxOf(tokens, minOf(maxTokens, spareTokens))
            val after = change { it.reserve(reservedTokens) ?: it }
            if (after === before) return null
            if (reservedTokens > tokens) {
                change { it.withDemand(reservedTokens - tokens, nowMillis(), policy.demandWindow.toMillis()) }
            }
            Reservation(workspace, request, holder, before.nextReservation, reservedTokens)
        }
    }

    private suspend fun awaitTokens(
        slot: AccountSlot,
        request: RequestId,
        tokens: Long,
        maxWaitMillis: Long,
    ): Result<Reservation, BudgetRefusal> {
        val deadlineMillis = nowMillis() + maxWaitMillis
        var remainingMillis = maxWaitMillis
        var immediateRetries = 0
        while (true) {
            val seenChanges = slot.changes.value
            val failure = refills.refill(slot, tokens, remainingMillis)
            tryReserve(slot, request, tokens)?.let { return Ok(it) }
            if (isClosed || isFinal(slot, failure, deadlineMillis - nowMillis())) {
                return refused(refusal(slot, tokens, failure))
            }
            remainingMillis = minOf(remainingMillis, deadlineMillis - nowMillis())
            // Concurrent callers may have reserved the granted tokens first, so the first few retries are made without
            // a wait.
            if (failure == null && immediateRetries++ < MAX_IMMEDIATE_RETRIES) continue
            if (remainingMillis <= 0) return refused(refusal(slot, tokens, failure))
            // Without a failure there is no time of the next attempt, and without a wait the attempts would be endless.
            val minWaitMillis = if (failure == null) slot.policy.retryDelay.toMillis() else 1
            val waitMillis = minOf(remainingMillis, maxOf(minWaitMillis, slot.locked { retryAtMillis } - nowMillis()))
            if (withTimeoutOrNull(waitMillis) { slot.changes.first { it != seenChanges } } == null) {
                remainingMillis -= waitMillis
            }
        }
    }

    /** Whether the caller is refused after [failure] without waiting for another attempt. */
    private fun isFinal(
        slot: AccountSlot,
        failure: RefillFailure?,
        remainingMillis: Long,
    ): Boolean =
        when (failure) {
            is RefillFailure.Withheld -> failure.remainingMillis > remainingMillis
            is RefillFailure.Closed, RefillFailure.UnknownWorkspace -> true
            is RefillFailure.Insufficient -> !slot.policy.waitsWhenInsufficient
            is RefillFailure.Unavailable, null -> false
        }

    private fun refusal(
        slot: AccountSlot,
        tokens: Long,
        failure: RefillFailure?,
    ): BudgetRefusal {
        val retryAfter =
            Duration.ofMillis(
                maxOf(
                    slot.policy.retryDelay.toMillis(),
                    slot.locked { retryAtMillis } - nowMillis(),
                ),
            )
        if (isClosed) return BudgetRefusal.RouterClosed(slot.workspace, retryAfter)
        return when (failure) {
            is RefillFailure.Insufficient ->
                BudgetRefusal.InsufficientBudget(
                    slot.workspace,
                    tokens,
                    failure.freeTokens,
                    retryAfter,
                    failure.balance,
                )
            is RefillFailure.Unavailable ->
                BudgetRefusal.PlatformUnavailable(
                    slot.workspace,
                    failure.reason,
                    retryAfter,
                )
            is RefillFailure.Withheld ->
                BudgetRefusal.PlatformUnavailable(
                    slot.workspace,
                    "tokens are withheld until all routers have confirmed theirs to the restored store",
                    maxOf(retryAfter, Duration.ofMillis(failure.remainingMillis)),
                )
            RefillFailure.UnknownWorkspace -> BudgetRefusal.UnknownWorkspace(slot.workspace, retryAfter)
            RefillFailure.Closed -> BudgetRefusal.RouterClosed(slot.workspace, retryAfter)
            null ->
                BudgetRefusal.PlatformUnavailable(
                    slot.workspace,
                    "other requests reserved the granted tokens first",
                    retryAfter,
                )
        }
    }

    private fun refused(refusal: BudgetRefusal): Result<Reservation, BudgetRefusal> {
        listener.onEvent(BudgetEvent.Refused(refusal))
        return Err(refusal)
    }

    private fun nowMillis(): Long = start.elapsedNow().inWholeMilliseconds

    private companion object {
        const val MAX_IMMEDIATE_RETRIES = 3

        /** Earlier than any time of the agent's clock; half of the range, so that differences to it do not overflow. */
        const val NEVER_MILLIS = Long.MIN_VALUE / 2
    }
}
