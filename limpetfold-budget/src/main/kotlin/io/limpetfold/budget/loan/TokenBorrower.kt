package io.limpetfold.budget.loan

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetListener
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.sync.withLock
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/**
 * Reserves tokens from loans of other routers, or from this router's own accounts; safe for concurrent use.
 *
 * The own account of a workspace is used where [lenders] selects no lender or none of them can lend. Borrowed tokens
 * stay reserved at the lender until this router reports them, so no token is spent twice when either process is killed.
 *
 * @param self the incarnation of this process.
 */
class TokenBorrower(
    private val self: Incarnation,
    private val agent: BudgetAgent,
    private val peers: PeerNetwork,
    private val lenders: LenderSelector,
    private val policy: LoanPolicy = LoanPolicy(),
    timeSource: TimeSource = TimeSource.Monotonic,
    private val listener: BudgetListener = BudgetListener.NONE,
) {
    private val start = timeSource.markNow()
    private val slots = ConcurrentHashMap<WorkspaceId, BorrowerSlot>()
    private val lastLoanNumber = AtomicLong()

    /** The number of workspaces with state in this router. */
    internal val workspaceCount: Int get() = slots.size

    /** Registers the handler of lenders' inquiries; call it before the network starts. */
    fun register() =
        peers.registerHandler(LOAN_INQUIRY_TOPIC) { _, inquiry ->
            val ended = inquiry.loans.filterNot { slots[it.workspace]?.hasLoan(it.number) ?: false }
            LoanInquiryReply(self, ended.toSet())
        }

    /** Reserves [tokens] for one run of [request], and waits up to [maxWait] for them; see [BudgetAgent.reserve]. */
    suspend fun reserve(
        workspace: WorkspaceId,
        request: RequestId,
        tokens: Long,
        maxWait: Duration,
    ): Result<TokenReservation, BudgetRefusal> {
        // Lazy, because ranking lenders costs a hash for each neighbour and most calls reserve tokens borrowed before.
        val candidates by lazy { lendersToAsk(workspace) }
        if (slots.containsKey(workspace) || candidates.isNotEmpty()) {
            val slot = slotOf(workspace)
            val wantedTokens = slot.recordDemand(tokens, nowMillis(), policy)
            slot.reserve(tokens)?.let { return Ok(it) }
            val shortage =
                slot.shortageOf(tokens, nowMillis()) ?: slot.mutex.withLock {
                    // The response to another caller may cover this one, or may have shown a shortage.
                    slot.reserve(tokens)?.let { return Ok(it) }
                    slot.shortageOf(tokens, nowMillis())
                        ?: borrow(slot, candidates, tokens, maxOf(tokens, wantedTokens), maxWait)
                }
            slot.reserve(tokens)?.let { return Ok(it) }
            shortage?.refusal?.let { return Err(it) }
        }
        return agent.reserve(workspace, request, tokens, maxWait).map { TokenReservation.Own(it) }
    }

    /** Charges [usedTokens], at most the reserved tokens, and releases the rest; idempotent. */
    fun settle(
        reservation: TokenReservation,
        usedTokens: Long,
    ) {
        when (reservation) {
            is TokenReservation.Own -> agent.settle(reservation.accountReservation, usedTokens)
            is TokenReservation.Borrowed -> slots[reservation.workspace]?.settle(reservation, usedTokens, nowMillis())
        }
    }

    /**
     * Opens an account of [workspace] before its first request, at a lender or at this router; see
     * [BudgetAgent.openAccount].
     */
    suspend fun openAccount(workspace: WorkspaceId): Boolean {
        for (lender in lendersToAsk(workspace)) {
            val slot = slotOf(workspace)
            val reply =
                slot.mutex.withLock {
                    slot.loanOf(lender, lastLoanNumber::incrementAndGet)?.let {
                        sendRequest(slot, it, 0, 0, Duration.ZERO)
                    }
                }
            if (reply?.outcome == LoanOutcome.LENT) return true
        }
        return agent.openAccount(workspace)
    }

    /** Returns idle tokens and evicts the state of idle workspaces; to be called about once a second. */
    suspend fun maintain() {
        returnIdleTokens(policy.idleAfter.toMillis())
        slots.values.removeIf { it.evict(nowMillis(), policy.evictAfter.toMillis()) }
    }

    /** Returns all tokens that are not reserved, as part of the graceful shutdown. */
    suspend fun close() = returnIdleTokens(idleMillis = Long.MIN_VALUE)

    private fun lendersToAsk(workspace: WorkspaceId): List<InstanceId> =
        lenders.lendersOf(workspace).take(policy.lendersPerAttempt)

    /** The slot of [workspace], with the use recorded; created on first use. */
    private fun slotOf(workspace: WorkspaceId): BorrowerSlot {
        while (true) {
            val slot = slots.computeIfAbsent(workspace, ::BorrowerSlot)
            if (slot.enter(nowMillis())) return slot
            slots.remove(workspace, slot)
        }
    }

    private suspend fun returnIdleTokens(idleMillis: Long) {
        for (slot in slots.values) {
            for (number in slot.returnIdle(nowMillis(), idleMillis)) {
                slot.mutex.withLock {
                    slot.unreportedLoan(number)?.let { sendRequest(slot, it, 0, 0, Duration.ZERO) }
                }
            }
        }
    }

    /** Asks [candidates] in turn until one lends, which returns null, or reports an insufficient budget. */
    private suspend fun borrow(
        slot: BorrowerSlot,
        candidates: List<InstanceId>,
        neededTokens: Long,
        maxTokens: Long,
        maxWait: Duration,
    ): Shortage? {
        val waitPerLender = maxWait.dividedBy(policy.lendersPerAttempt.toLong())
        for (lender in candidates) {
            var reply = borrowFrom(slot, lender, neededTokens, maxTokens, waitPerLender)
            if (reply?.outcome == LoanOutcome.UNKNOWN_LOAN) {
                reply = borrowFrom(slot, lender, neededTokens, maxTokens, waitPerLender)
            }
            when (reply?.outcome) {
                LoanOutcome.LENT -> return null
                LoanOutcome.INSUFFICIENT -> return insufficient(
                    slot.workspace,
                    neededTokens,
                    reply,
                ).also(slot::recordShortage)
                LoanOutcome.UNAVAILABLE, LoanOutcome.UNKNOWN_LOAN, null -> continue
            }
        }
        if (candidates.isEmpty()) return null
        return Shortage(
            neededTokens,
            refusal = null,
            nowMillis() + policy.retryDelay.toMillis(),
        ).also(slot::recordShortage)
    }

    private fun insufficient(
        workspace: WorkspaceId,
        neededTokens: Long,
        reply: LoanReply,
    ): Shortage {
        val retryAfter = Duration.ofMillis(reply.retryAfterMillis)
        val refusal = BudgetRefusal.InsufficientBudget(workspace, neededTokens, reply.freeTokens, retryAfter)
        return Shortage(neededTokens, refusal, nowMillis() + reply.retryAfterMillis)
    }

    /** Requests from [lender] the tokens that its loan lacks. */
    private suspend fun borrowFrom(
        slot: BorrowerSlot,
        lender: InstanceId,
        neededTokens: Long,
        maxTokens: Long,
        maxWait: Duration,
    ): LoanReply? {
        val loan = slot.loanOf(lender, lastLoanNumber::incrementAndGet) ?: return null
        val shortTokens = maxOf(1, neededTokens - loan.availableTokens)
        val reply = sendRequest(slot, loan, shortTokens, maxOf(shortTokens, maxTokens - loan.availableTokens), maxWait)
        if (reply != null && reply.lentTokens > loan.lentTokens) {
            listener.onEvent(BudgetEvent.Borrowed(slot.workspace, lender, reply.lentTokens - loan.lentTokens))
        }
        return reply
    }

    /** Sends one request for [loan] and applies the response; null when there was none. */
    private suspend fun sendRequest(
        slot: BorrowerSlot,
        loan: BorrowedTokens,
        neededTokens: Long,
        maxTokens: Long,
        maxWait: Duration,
    ): LoanReply? {
        val request =
            LoanRequest(
                slot.workspace,
                self,
                loan.number,
                neededTokens,
                maxTokens,
                maxWait.toMillis(),
                loan.lentTokens,
                loan.spentTokens,
                loan.returnedTokens,
            )
        slot.change(loan.number) { it.copy(isResponseMissing = true) }
        val reply = peers.ask(loan.lender, LOAN_TOPIC, request, policy.responseTimeout + maxWait).get() ?: return null
        val reportedTokens = loan.spentTokens + loan.returnedTokens
        slot.change(loan.number) {
            if (reply.outcome == LoanOutcome.UNKNOWN_LOAN) {
                it.copy(isEnded = true)
            } else {
                it.withReply(reply.lentTokens, reportedTokens)
            }
        }
        return reply
    }

    private fun nowMillis(): Long = start.elapsedNow().inWholeMilliseconds
}
