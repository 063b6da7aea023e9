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
 * Reserves tokens from lenders where [lenders] names some, and from this router's own accounts else; safe for concurrent use.
 *
 * A router that reaches no lender of a workspace opens an account of its own. What was borrowed counts as spent at the lender until this
 * router says otherwise, so a kill of either never lets a token be spent twice.
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
    private val lastLoan = AtomicLong()

    /** The workspaces that this router keeps something of. */
    internal val workspaceCount: Int get() = slots.size

    /** Reserves [tokens] for one run of [request], and waits up to [maxWait] for them; see [BudgetAgent.reserve]. */
    suspend fun reserve(
        workspace: WorkspaceId,
        request: RequestId,
        tokens: Long,
        maxWait: Duration,
    ): Result<TokenReservation, BudgetRefusal> {
        // Ranking lenders costs a hash for each neighbour, and most calls find what was borrowed before.
        val asked by lazy { askedFor(workspace) }
        if (slots.containsKey(workspace) || asked.isNotEmpty()) {
            val slot = slotOf(workspace)
            val wantedTokens = slot.demanded(tokens, nowMillis(), policy)
            slot.reserve(tokens)?.let { return Ok(it) }
            val shortage =
                slot.shortageOf(tokens, nowMillis()) ?: slot.access.withLock {
                    // Another caller's answer may cover this one, or tell that lenders have none.
                    slot.reserve(tokens)?.let { return Ok(it) }
                    slot.shortageOf(tokens, nowMillis()) ?: borrow(slot, asked, tokens, maxOf(tokens, wantedTokens), maxWait)
                }
            slot.reserve(tokens)?.let { return Ok(it) }
            shortage?.refusal?.let { return Err(it) }
        }
        return agent.reserve(workspace, request, tokens, maxWait).map { TokenReservation.Own(it) }
    }

    /** Charges [usedTokens], at most what [reservation] has, and releases the rest; a second call changes nothing. */
    fun settle(
        reservation: TokenReservation,
        usedTokens: Long,
    ) {
        when (reservation) {
            is TokenReservation.Own -> agent.settle(reservation.accountReservation, usedTokens)
            is TokenReservation.Borrowed -> slots[reservation.workspace]?.settle(reservation, usedTokens, nowMillis())
        }
    }

    /** Has an account of [workspace] opened before calls need it, at a lender or here; see [BudgetAgent.openAccount]. */
    suspend fun openAccount(workspace: WorkspaceId): Boolean {
        for (lender in askedFor(workspace)) {
            val slot = slotOf(workspace)
            val reply = slot.access.withLock { ask(slot, slot.loanOf(lender, lastLoan::incrementAndGet), 0, 0, Duration.ZERO) }
            if (reply?.outcome == LoanOutcome.LENT) return true
        }
        return agent.openAccount(workspace)
    }

    /** Gives back what was not used for a while, and forgets workspaces that are not served any more. */
    suspend fun maintain() {
        giveBack(policy.idleAfter.toMillis())
        slots.values.removeIf { it.forget(nowMillis(), policy.forgetAfter.toMillis()) }
    }

    /** Gives back all that is not reserved, before the planned stop of this router. */
    suspend fun close() = giveBack(idleMillis = Long.MIN_VALUE)

    /** The lenders to ask for tokens of [workspace], in turn. */
    private fun askedFor(workspace: WorkspaceId): List<InstanceId> = lenders.lendersOf(workspace).take(policy.lendersAsked)

    /** The slot of [workspace], noted as used; a new one where there is none. */
    private fun slotOf(workspace: WorkspaceId): BorrowerSlot {
        while (true) {
            val slot = slots.computeIfAbsent(workspace, ::BorrowerSlot)
            if (slot.enter(nowMillis())) return slot
            slots.remove(workspace, slot)
        }
    }

    private suspend fun giveBack(idleMillis: Long) {
        for (slot in slots.values) {
            for (loan in slot.returnIdle(nowMillis(), idleMillis)) slot.access.withLock { ask(slot, loan, 0, 0, Duration.ZERO) }
        }
    }

    /** Asks [asked] in turn until one lends, then returns null, or knows that the tokens are not there. */
    private suspend fun borrow(
        slot: BorrowerSlot,
        asked: List<InstanceId>,
        neededTokens: Long,
        maxTokens: Long,
        maxWait: Duration,
    ): Shortage? {
        val shared = maxWait.dividedBy(policy.lendersAsked.toLong())
        for (lender in asked) {
            var reply = borrowFrom(slot, lender, neededTokens, maxTokens, shared)
            if (reply?.outcome == LoanOutcome.UNKNOWN_LOAN) reply = borrowFrom(slot, lender, neededTokens, maxTokens, shared)
            when (reply?.outcome) {
                LoanOutcome.LENT -> return null
                LoanOutcome.INSUFFICIENT -> return insufficient(slot.workspace, neededTokens, reply).also(slot::note)
                LoanOutcome.UNAVAILABLE, LoanOutcome.UNKNOWN_LOAN, null -> continue
            }
        }
        if (asked.isEmpty()) return null
        return Shortage(neededTokens, refusal = null, nowMillis() + policy.retryDelay.toMillis()).also(slot::note)
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

    /** Asks [lender] for what its loan lacks. */
    private suspend fun borrowFrom(
        slot: BorrowerSlot,
        lender: InstanceId,
        neededTokens: Long,
        maxTokens: Long,
        maxWait: Duration,
    ): LoanReply? {
        val loan = slot.loanOf(lender, lastLoan::incrementAndGet)
        val shortTokens = maxOf(1, neededTokens - loan.availableTokens)
        val reply = ask(slot, loan, shortTokens, maxOf(shortTokens, maxTokens - loan.availableTokens), maxWait)
        if (reply != null && reply.lentTokens > loan.lentTokens) {
            listener.onEvent(BudgetEvent.Borrowed(slot.workspace, lender, reply.lentTokens - loan.lentTokens))
        }
        return reply
    }

    /** Sends one request of [loan] and takes over its answer; null when none came. */
    private suspend fun ask(
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
        slot.change(loan.number) { it.copy(isAnswerMissing = true) }
        val reply = peers.ask(loan.lender, LOAN_TOPIC, request, policy.answerTimeout + maxWait).get() ?: return null
        val told = loan.spentTokens + loan.returnedTokens
        slot.change(loan.number) {
            if (reply.outcome == LoanOutcome.UNKNOWN_LOAN) it.copy(isEnded = true) else it.answered(reply.lentTokens, told)
        }
        return reply
    }

    private fun nowMillis(): Long = start.elapsedNow().inWholeMilliseconds
}
