package io.limpetfold.gateway.observe

import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetListener

/** Counts and logs what the budget agent does. */
internal class BudgetObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) : BudgetListener {
    override fun onEvent(event: BudgetEvent) =
        when (event) {
            is BudgetEvent.Synchronised -> synchronised(event)
            is BudgetEvent.PlatformFailed -> {
                metrics.event(EVENTS, "store_failed")
                log.warn("budget.store_failed", "workspace" to event.workspace, "reason" to event.message)
            }
            is BudgetEvent.TransferReceived -> {
                metrics.event(EVENTS, "transfer_received")
                log.info("budget.received", "workspace" to event.workspace, "peer" to event.from, "tokens" to event.tokens)
            }
            is BudgetEvent.TransferSent -> {
                metrics.event(EVENTS, "transfer_sent")
                log.info("budget.sent", "workspace" to event.workspace, "peer" to event.to, "tokens" to event.tokens)
            }
            is BudgetEvent.Borrowed -> {
                metrics.event(EVENTS, "borrowed")
                log.info("budget.borrowed", "workspace" to event.workspace, "peer" to event.from, "tokens" to event.tokens)
            }
            is BudgetEvent.Lent -> {
                metrics.event(EVENTS, "lent")
                log.info("budget.lent", "workspace" to event.workspace, "peer" to event.to, "tokens" to event.tokens)
            }
            is BudgetEvent.LoanWrittenOff -> {
                metrics.event(EVENTS, "loan_written_off")
                log.warn("budget.loan_written_off", "workspace" to event.workspace, "peer" to event.borrower, "tokens" to event.tokens)
            }
            is BudgetEvent.Refused -> {
                metrics.event(EVENTS, "refused")
                log.info("budget.refused", "workspace" to event.workspace, "reason" to event.refusal.message)
            }
        }

    private fun synchronised(event: BudgetEvent.Synchronised) {
        metrics.event(EVENTS, "synchronised")
        if (event.acquiredTokens > 0) {
            log.info("budget.granted", "workspace" to event.workspace, "tokens" to event.acquiredTokens, "free" to event.freeTokens)
        }
    }

    companion object {
        /** Counts what the budget agent did, by event. */
        const val EVENTS = "limpetfold_budget_events"
    }
}
