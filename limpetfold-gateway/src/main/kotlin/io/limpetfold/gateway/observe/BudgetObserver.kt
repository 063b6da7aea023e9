package io.limpetfold.gateway.observe

import io.limpetfold.budget.BudgetEvent
import io.limpetfold.budget.BudgetListener
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.budget.LedgerBalance
import io.limpetfold.core.InstanceId

/** Counts and logs the events of the budget agent. */
internal class BudgetObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) : BudgetListener {
    override fun onEvent(event: BudgetEvent) {
        metrics.countEvent(EVENTS_METRIC, event.name)
        when (event) {
            is BudgetEvent.Synchronised ->
                if (event.acquiredTokens > 0) {
                    log.info(
                        "budget.granted",
                        "workspace" to event.workspace,
                        "tokens" to event.acquiredTokens,
                        *fieldsOf(event.balance),
                    )
                }
            // The agent logs the closed entry itself.
            is BudgetEvent.PredecessorClosed -> Unit
            is BudgetEvent.PlatformFailed ->
                log.warn(
                    "budget.store_failed",
                    "workspace" to event.workspace,
                    "reason" to event.message,
                )
            is BudgetEvent.TransferReceived -> logTransfer("budget.received", event, event.from, event.tokens)
            is BudgetEvent.TransferSent -> logTransfer("budget.sent", event, event.to, event.tokens)
            is BudgetEvent.Borrowed -> logTransfer("budget.borrowed", event, event.from, event.tokens)
            is BudgetEvent.Lent -> logTransfer("budget.lent", event, event.to, event.tokens)
            is BudgetEvent.LoanWrittenOff ->
                log.warn(
                    "budget.loan_written_off",
                    "workspace" to event.workspace,
                    "peer" to event.borrower,
                    "tokens" to event.tokens,
                )
            is BudgetEvent.LoanReleased ->
                logTransfer("budget.loan_released", event, event.borrower, event.tokens)
            is BudgetEvent.HoldingConfirmed ->
                log.warn(
                    "budget.confirmed",
                    "workspace" to event.workspace,
                    "era" to event.era,
                    "tokens" to event.heldTokens,
                    "withheld" to event.withheldTokens,
                )
            is BudgetEvent.Refused ->
                log.info(
                    "budget.refused",
                    "workspace" to event.workspace,
                    "reason" to event.refusal.message,
                    *fieldsOf((event.refusal as? BudgetRefusal.InsufficientBudget)?.balance),
                )
        }
    }

    private fun fieldsOf(balance: LedgerBalance?): Array<Pair<String, Any?>> =
        if (balance == null) {
            emptyArray()
        } else {
            arrayOf(
                "paid" to balance.paidTokens,
                "free" to balance.freeTokens,
                "held" to balance.heldTokens,
                "writtenOff" to balance.writtenOffTokens,
            )
        }

    private fun logTransfer(
        message: String,
        event: BudgetEvent,
        peer: InstanceId,
        tokens: Long,
    ) = log.info(message, "workspace" to event.workspace, "peer" to peer, "tokens" to tokens)

    companion object {
        /** Name of the counter of budget events, with the event as label. */
        const val EVENTS_METRIC = "limpetfold_budget_events"
    }
}
