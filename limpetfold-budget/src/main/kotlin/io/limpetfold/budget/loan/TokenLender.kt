package io.limpetfold.budget.loan

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetListener
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.withLock
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.TimeSource

/**
 * Lends tokens of this router's accounts to routers without an account of a workspace; safe for concurrent use.
 *
 * In a large fleet, few routers then have an entry in a ledger, so it stays small and its conditional writes seldom
 * conflict. The entry of a lender that has ended must be reclaimed with its whole grant, because borrowers may still
 * spend the lent tokens.
 *
 * A loan that a late request opened, or of which a response was lost, may be unknown to its borrower. Lent tokens are
 * released only when the borrower says that it no longer has the loan, which stays true whatever arrives later; time
 * only tells when to ask.
 */
class TokenLender(
    private val agent: BudgetAgent,
    private val listener: BudgetListener = BudgetListener.NONE,
    private val policy: LoanPolicy = LoanPolicy(),
    timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val start = timeSource.markNow()
    private val loans = ConcurrentHashMap<Key, Loan>()

    /** Registers the handler of loan requests; call it before the network starts. */
    fun register(peers: PeerNetwork) =
        peers.registerHandler(LOAN_TOPIC) { from, request ->
            if (from == request.borrower) {
                handleRequest(request)
            } else {
                LoanReply(LoanOutcome.UNKNOWN_LOAN)
            }
        }

    /** Asks borrowers about the loans that were not heard of for a while; to be called about once a second. */
    suspend fun maintain(peers: PeerNetwork) =
        coroutineScope {
            val now = nowMillis()
            val silent = loans.entries.filter { now - it.value.heardAtMillis >= policy.inquireAfter.toMillis() }
            for ((borrower, entries) in silent.groupBy { it.value.borrower }) {
                val asked = entries.take(MAX_LOANS_PER_INQUIRY).associate { it.key to it.value }
                asked.values.forEach { it.heardAtMillis = now }
                launch { inquire(peers, borrower, asked) }
            }
        }

    private suspend fun inquire(
        peers: PeerNetwork,
        borrower: Incarnation,
        asked: Map<Key, Loan>,
    ) {
        val inquiry = LoanInquiry(asked.map { (key, loan) -> LoanName(key.workspace, loan.number) })
        val reply =
            peers.ask(borrower.instance, LOAN_INQUIRY_TOPIC, inquiry, policy.responseTimeout).get() ?: return
        for ((key, loan) in asked) {
            val isReplaced = reply.process.instance == borrower.instance && reply.process > borrower
            val isEnded = reply.process == borrower && LoanName(key.workspace, loan.number) in reply.ended
            if ((isReplaced || isEnded) && loans.remove(key, loan)) end(key.workspace, loan, isReplaced)
        }
    }

    private suspend fun handleRequest(request: LoanRequest): LoanReply {
        val loan = loanOf(request) ?: return LoanReply(LoanOutcome.UNKNOWN_LOAN)
        return loan.mutex.withLock {
            // Another request may have ended the loan in the meantime; tokens lent now would never be settled.
            if (loans[Key(request.workspace, request.borrower.instance)] !== loan) {
                return LoanReply(LoanOutcome.UNKNOWN_LOAN)
            }
            loan.heardAtMillis = nowMillis()
            settle(loan.applyReport(request.spentTokens, request.returnedTokens))
            val unseenTokens = loan.lentTokens - request.seenTokens
            when {
                request.neededTokens > unseenTokens -> lend(loan, request, request.neededTokens - unseenTokens)
                request.neededTokens == 0L && request.isFirst && loan.lentTokens == 0L -> open(request.workspace)
                else -> acknowledge(loan, request)
            }
        }
    }

    /**
     * The loan of [request]. A first request opens it and ends an earlier loan of the borrower; null for an unknown
     * loan.
     */
    private suspend fun loanOf(request: LoanRequest): Loan? {
        var replaced: Loan? = null
        val loan =
            loans.compute(Key(request.workspace, request.borrower.instance)) { _, known ->
                val isSame = known?.borrower == request.borrower && known.number == request.number
                val isStale = known != null && known.isNewerThan(request)
                if (isSame || isStale || !request.isFirst) return@compute known
                replaced = known
                Loan(request.borrower, request.number, nowMillis())
            }
        replaced?.let { end(request.workspace, it, isBorrowerReplaced = it.borrower != request.borrower) }
        return loan?.takeIf { it.borrower == request.borrower && it.number == request.number }
    }

    private suspend fun lend(
        loan: Loan,
        request: LoanRequest,
        neededTokens: Long,
    ): LoanReply {
        val maxWait = Duration.ofMillis(request.maxWaitMillis.coerceIn(0, MAX_WAIT_MILLIS))
        return agent.reserve(request.workspace, LOAN_REQUEST, neededTokens, maxWait, request.maxTokens).fold(
            success = {
                loan.lend(it)
                listener.onEvent(BudgetEvent.Lent(request.workspace, request.borrower.instance, it.tokens))
                LoanReply(LoanOutcome.LENT, loan.lentTokens)
            },
            failure = { refused(loan, it) },
        )
    }

    private fun refused(
        loan: Loan,
        refusal: BudgetRefusal,
    ): LoanReply {
        val retryAfterMillis = refusal.retryAfter.toMillis()
        return when (refusal) {
            is BudgetRefusal.InsufficientBudget ->
                LoanReply(LoanOutcome.INSUFFICIENT, loan.lentTokens, refusal.freeTokens, retryAfterMillis)
            is BudgetRefusal.PlatformUnavailable, is BudgetRefusal.RouterClosed, is BudgetRefusal.UnknownWorkspace ->
                LoanReply(LoanOutcome.UNAVAILABLE, loan.lentTokens, retryAfterMillis = retryAfterMillis)
        }
    }

    /**
     * Acknowledges a report. Drops a closed loan of which no tokens are requested; a later request opens another one.
     */
    private fun acknowledge(
        loan: Loan,
        request: LoanRequest,
    ): LoanReply {
        if (request.neededTokens == 0L &&
            loan.isClosed
        ) {
            loans.remove(Key(request.workspace, loan.borrower.instance), loan)
        }
        return LoanReply(LoanOutcome.LENT, loan.lentTokens)
    }

    private fun Loan.isNewerThan(request: LoanRequest): Boolean =
        borrower > request.borrower || (borrower == request.borrower && number > request.number)

    /**
     * Ends a loan that is no longer in [loans]. Its open tokens count as spent if the borrower's process was replaced,
     * because that process may have got them, and as unspent if the borrower has dropped the loan.
     */
    private suspend fun end(
        workspace: WorkspaceId,
        loan: Loan,
        isBorrowerReplaced: Boolean,
    ) {
        val borrower = loan.borrower.instance
        val charges = loan.mutex.withLock { if (isBorrowerReplaced) loan.writeOff() else loan.release() }
        settle(charges)
        if (charges.isEmpty()) return
        val tokens = charges.sumOf { it.reservation.tokens }
        listener.onEvent(
            if (isBorrowerReplaced) {
                BudgetEvent.LoanWrittenOff(workspace, borrower, tokens)
            } else {
                BudgetEvent.LoanReleased(workspace, borrower, tokens)
            },
        )
    }

    private suspend fun open(workspace: WorkspaceId): LoanReply =
        LoanReply(if (agent.openAccount(workspace)) LoanOutcome.LENT else LoanOutcome.UNAVAILABLE)

    private fun settle(charges: List<Loan.Charge>) = charges.forEach { agent.settle(it.reservation, it.tokens) }

    private fun nowMillis(): Long = start.elapsedNow().inWholeMilliseconds

    private data class Key(
        val workspace: WorkspaceId,
        val borrower: InstanceId,
    )

    private companion object {
        val LOAN_REQUEST = RequestId("loan")

        /** A longer wait would block later requests of the same loan. */
        const val MAX_WAIT_MILLIS = 1_000L

        /** Keeps an inquiry far below the size limit of a message. */
        const val MAX_LOANS_PER_INQUIRY = 200
    }
}
