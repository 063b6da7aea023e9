package io.limpetfold.gateway.observe

import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetListener
import io.limpetfold.core.InstanceId

/** Counts and logs what the budget agent does. */
internal class BudgetObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) : BudgetListener {
    override fun onEvent(event: BudgetEvent) {
        metrics.event(EVENTS, event.name)
        when (event) {
            is BudgetEvent.Synchronised ->
                if (event.acquiredTokens > 0) {
                    log.info("budget.granted", "workspace" to event.workspace, "tokens" to event.acquiredTokens, "free" to event.freeTokens)
                }
            is BudgetEvent.PlatformFailed -> log.warn("budget.store_failed", "workspace" to event.workspace, "reason" to event.message)
            is BudgetEvent.TransferReceived -> moved("budget.received", event, event.from, event.tokens)
            is BudgetEvent.TransferSent -> moved("budget.sent", event, event.to, event.tokens)
            is BudgetEvent.Borrowed -> moved("budget.borrowed", event, event.from, event.tokens)
            is BudgetEvent.Lent -> moved("budget.lent", event, event.to, event.tokens)
            is BudgetEvent.LoanWrittenOff ->
                log.warn("budget.loan_written_off", "workspace" to event.workspace, "peer" to event.borrower, "tokens" to event.tokens)
            is BudgetEvent.Refused -> log.info("budget.refused", "workspace" to event.workspace, "reason" to event.refusal.message)
        }
    }

    private fun moved(
        message: String,
        event: BudgetEvent,
        peer: InstanceId,
        tokens: Long,
    ) = log.info(message, "workspace" to event.workspace, "peer" to peer, "tokens" to tokens)

    companion object {
        /** Counts what the budget agent did, by event. */
        const val EVENTS = "limpetfold_budget_events"
    }
}
