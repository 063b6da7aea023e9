package io.limpetfold.budget

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
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
 * Safe for concurrent use; callers' threads are held only for short critical sections. The constructor registers the
 * transfer topic with [peers].
 *
 * An account that was closed because nobody used it is opened again under a new holder: peers may still know totals of the
 * closed one, which must not be credited to the new one. The holder's number is that of [self] plus the number of accounts
 * closed before, at most one for each workspace of a maintenance round.
 *
 * @param self the incarnation of this process; it must never be used again after the process has ended, and the number of
 * a later process must be larger than those of all holders. Start times in milliseconds fulfil this.
 * @param policyOf the policy of a workspace; asked again with each call to the platform, so that a changed one counts.
 * @param maxWorkspacesPerRound the most workspaces for which one round of maintenance calls the platform. With a round a
 * second, one keeps 330 routers below the several hundred writes a second that the platform takes.
 * @param paidTotalOf what a workspace has paid, where the configuration says so; null where top-ups do.
 * @param predecessorSpend what earlier incarnations of the instance have spent. They have ended, because a new process of
 * the instance binds the same address, and their entries are closed with this spend.
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
    predecessorSpend: PredecessorSpendLookup = PredecessorSpendLookup.NONE,
    paidTotalOf: (WorkspaceId) -> PaidTotal? = { null },
) {
    private val start = timeSource.markNow()
    private val slots = ConcurrentHashMap<WorkspaceId, AccountSlot>()

    @Volatile
    private var isClosed = false

    private val ledgers = LedgerSync(self, store, policyOf, paidTotalOf, listener, { isClosed }, ::nowMillis)
    private val transfers = PeerTransfers(self, peers, random, listener) { slots[it] }
    private val refills = AccountRefill(ledgers, transfers, ::nowMillis)
    private val maintenance = AccountMaintenance(slots, store, ledgers, refills, predecessorSpend, ::nowMillis)

    init {
        require(maxWorkspacesPerRound > 0) { "reportsPerRound must be positive" }
        peers.registerHandler(TRANSFER_TOPIC) { from, message -> transfers.give(from, message) }
    }

    /**
     * Reserves [tokens] for one run of [request].
     *
     * Tries the local account, then the platform, then peers, and waits up to [maxWait] for tokens to become available.
     * With a wait of zero one attempt is made and nothing is waited for beyond its calls. Two calls for the same
     * request are two runs with a reservation each.
     *
     * @param maxTokens reserved instead of [tokens] as far as the account can spare them, as for several runs of a peer; while others wait
     * for tokens it spares none.
     */
    suspend fun reserve(
        workspace: WorkspaceId,
        request: RequestId,
        tokens: Long,
        maxWait: Duration,
        maxTokens: Long = tokens,
    ): Result<Reservation, BudgetRefusal> {
        require(tokens >= 0) { "a reservation of $tokens tokens is negative" }
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
            slot.change { it.demanded(tokens, nowMillis(), slot.policy.demandWindow.toMillis()) }
            tryReserve(slot, request, tokens, maxTokens)?.let { Ok(it) } ?: waitForTokens(slot, request, tokens, maxWait)
        } finally {
            slot.leave(nowMillis())
        }
    }

    /**
     * Opens the account of [workspace] before it is needed, with the share that the policy holds; true when the ledger shows it.
     *
     * An account without an entry in the ledger can take no tokens from peers, so one that is opened only during an outage of the
     * platform starts with nothing.
     */
    suspend fun openAccount(workspace: WorkspaceId): Boolean {
        val slot = enter(workspace) ?: return false
        return try {
            if (slot.locked { account.sequence } > 0) return true
            ledgers.synchronise(slot) { account, free, unspent -> refills.grantFor(slot, 0, account, free, unspent) }
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
     * Charges [usedTokens], at most the reservation, and releases the rest; a second call changes nothing.
     *
     * After [close] nothing is charged any more: the close has charged open reservations in full.
     */
    fun settle(
        reservation: Reservation,
        usedTokens: Long,
    ): Settlement {
        check(reservation.holder.instance == self.instance) { "reservation ${reservation.number} is of another agent" }
        val slot = slots[reservation.workspace]?.takeIf { it.holder == reservation.holder }
        // An account is forgotten only when all its reservations are settled.
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
        return Settlement(slot.holder, charged, if (isRepeated) 0 else reservation.tokens - charged, after.spentTokens, isRepeated)
    }

    /** Lets the next attempt for each workspace call the platform at once, as when it answers again or what they have paid has changed. */
    fun resetPlatformBackoff() {
        ledgers.resetPlatformBackoff()
        slots.values.forEach { slot ->
            slot.locked {
                failure = null
                retryDelayMillis = 0
                freeTokensSeen = Long.MAX_VALUE
            }
        }
    }

    /** Lets maintenance read all ledgers again, as after a router has joined: only holders that an account has seen can exchange tokens. */
    fun requestLedgerSync() = slots.values.forEach { slot -> slot.locked { syncedAtMillis = NEVER_MILLIS } }

    /**
     * Brings the ledgers of at most `maxWorkspacesPerRound` workspaces up to date, those longest not synchronised
     * first: reports spend, records transfers, learns of top-ups, closed peers and unseen transfers, and closes the entry of an
     * earlier incarnation of the instance. Accounts below [BudgetPolicy.refillBelow] are refilled before they run out. Idle accounts return tokens, and are closed when nothing is left of them.
     */
    suspend fun maintain() {
        if (isClosed) return
        maintenance.maintain(maxWorkspacesPerRound)
    }

    /**
     * Returns all grants; nothing can be reserved or charged from the call on. After an error call it again: the entries
     * that are not closed yet stay counted as granted.
     */
    suspend fun close(): Result<Unit, StoreError> {
        isClosed = true
        var firstError: StoreError? = null
        val all = slots.values + maintenance.leaving
        all.forEach { slot -> slot.change { it.closing() } }
        all.forEach { slot -> ledgers.close(slot)?.let { error -> firstError = firstError ?: error } }
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

    /** The slot of [workspace] with the caller counted in; null as for [slotOf]. */
    private fun enter(workspace: WorkspaceId): AccountSlot? {
        while (true) {
            val slot = slotOf(workspace) ?: return null
            if (slot.enter(nowMillis())) return slot
            slots.remove(workspace, slot)
        }
    }

    /** Returns null when the agent is closed or the name can't be a workspace. */
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

    private fun nextHolder() = self.copy(number = self.number + maintenance.forgottenCount)

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
            if (reservedTokens > tokens) change { it.demanded(reservedTokens - tokens, nowMillis(), policy.demandWindow.toMillis()) }
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
        var rounds = 0
        while (true) {
            val seenChanges = slot.changes.value
            val failure = refills.refill(slot, tokens, remainingMillis)
            tryReserve(slot, request, tokens)?.let { return Ok(it) }
            if (isClosed || isFinal(slot, failure)) {
                return refused(refusal(slot, tokens, failure))
            }
            remainingMillis = minOf(remainingMillis, deadlineMillis - nowMillis())
            // Other callers may take what an attempt brought; a few more attempts do not need a wait.
            if (failure == null && rounds++ < MAX_LOST_REFILLS) continue
            if (remainingMillis <= 0) return refused(refusal(slot, tokens, failure))
            val waitMillis = minOf(remainingMillis, maxOf(1, slot.locked { retryAtMillis } - nowMillis()))
            if (withTimeoutOrNull(waitMillis) { slot.changes.first { it != seenChanges } } == null) remainingMillis -= waitMillis
        }
    }

    /** Whether waiting can't change [failure]. */
    private fun isFinal(
        slot: AccountSlot,
        failure: RefillFailure?,
    ): Boolean =
        when (failure) {
            is RefillFailure.Closed, RefillFailure.UnknownWorkspace -> true
            is RefillFailure.Insufficient -> !slot.policy.waitsWhenInsufficient
            is RefillFailure.Unavailable, null -> false
        }

    private fun refusal(
        slot: AccountSlot,
        tokens: Long,
        failure: RefillFailure?,
    ): BudgetRefusal {
        val retryAfter = Duration.ofMillis(maxOf(slot.policy.retryDelay.toMillis(), slot.locked { retryAtMillis } - nowMillis()))
        if (isClosed) return BudgetRefusal.RouterClosed(slot.workspace, retryAfter)
        return when (failure) {
            is RefillFailure.Insufficient ->
                BudgetRefusal.InsufficientBudget(slot.workspace, tokens, failure.freeTokens, retryAfter)
            is RefillFailure.Unavailable -> BudgetRefusal.PlatformUnavailable(slot.workspace, failure.reason, retryAfter)
            RefillFailure.UnknownWorkspace -> BudgetRefusal.UnknownWorkspace(slot.workspace, retryAfter)
            RefillFailure.Closed -> BudgetRefusal.RouterClosed(slot.workspace, retryAfter)
            null -> BudgetRefusal.PlatformUnavailable(slot.workspace, "other requests took what was granted", retryAfter)
        }
    }

    private fun refused(refusal: BudgetRefusal): Result<Reservation, BudgetRefusal> {
        listener.onEvent(BudgetEvent.Refused(refusal))
        return Err(refusal)
    }

    private fun nowMillis(): Long = start.elapsedNow().inWholeMilliseconds

    private companion object {
        const val MAX_LOST_REFILLS = 3

        /** Before any time that the agent's clock shows, with room for differences. */
        const val NEVER_MILLIS = Long.MIN_VALUE / 2
    }
}
