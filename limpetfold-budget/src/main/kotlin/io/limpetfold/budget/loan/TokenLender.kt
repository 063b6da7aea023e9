package io.limpetfold.budget.loan

import com.github.michaelbull.result.fold
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetListener
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.sync.withLock
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Lends tokens of this router's accounts to routers without an account of a workspace; safe for concurrent use.
 *
 * In a large fleet, few routers then have an entry in a ledger, so it stays small and its conditional writes seldom
 * conflict. The entry of a lender that has ended must be reclaimed with its whole grant, because borrowers may still
 * spend the lent tokens.
 */
class TokenLender(
    private val agent: BudgetAgent,
    private val listener: BudgetListener = BudgetListener.NONE,
) {
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

    private suspend fun handleRequest(request: LoanRequest): LoanReply {
        val loan = loanOf(request) ?: return LoanReply(LoanOutcome.UNKNOWN_LOAN)
        return loan.mutex.withLock {
            settle(loan.applyReport(request.spentTokens, request.returnedTokens))
            val unseenTokens = loan.lentTokens - request.seenTokens
            when {
                request.neededTokens > unseenTokens -> lend(loan, request, request.neededTokens - unseenTokens)
                request.neededTokens == 0L && request.isFirst -> open(request.workspace)
                else -> acknowledge(loan, request)
            }
        }
    }

    /**
     * The loan of [request]. A first request opens it and writes off an earlier loan of the borrower; null for an
     * unknown loan.
     */
    private fun loanOf(request: LoanRequest): Loan? {
        var replaced: Loan? = null
        val loan =
            loans.compute(Key(request.workspace, request.borrower.instance)) { _, known ->
                val isSame = known?.borrower == request.borrower && known.number == request.number
                val isStale = known?.borrower == request.borrower && known.number > request.number
                if (isSame || isStale || !request.isFirst) return@compute known
                replaced = known
                Loan(request.borrower, request.number)
            }
        replaced?.let { writeOff(request.workspace, it) }
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

    private fun writeOff(
        workspace: WorkspaceId,
        loan: Loan,
    ) {
        val charges = loan.writeOff()
        settle(charges)
        if (charges.isNotEmpty()) {
            listener.onEvent(BudgetEvent.LoanWrittenOff(workspace, loan.borrower.instance, charges.sumOf { it.tokens }))
        }
    }

    private suspend fun open(workspace: WorkspaceId): LoanReply =
        LoanReply(if (agent.openAccount(workspace)) LoanOutcome.LENT else LoanOutcome.UNAVAILABLE)

    private fun settle(charges: List<Loan.Charge>) = charges.forEach { agent.settle(it.reservation, it.tokens) }

    private data class Key(
        val workspace: WorkspaceId,
        val borrower: InstanceId,
    )

    private companion object {
        val LOAN_REQUEST = RequestId("loan")

        /** A longer wait would block later requests of the same loan. */
        const val MAX_WAIT_MILLIS = 1_000L
    }
}
