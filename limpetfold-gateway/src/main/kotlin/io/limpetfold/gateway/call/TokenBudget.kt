package io.limpetfold.gateway.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.budget.loan.TokenBorrower
import io.limpetfold.budget.loan.TokenReservation
import java.time.Duration

/** Reserves the maximum number of tokens that a call can consume, and charges the number that it consumed. */
internal class TokenBudget(
    private val tokens: TokenBorrower,
) {
    /** Returns the reservation; null for a call that consumes no prepaid tokens. */
    suspend fun reserve(
        call: AdmittedCall,
        maxWait: Duration,
    ): Result<TokenReservation?, RefusalReason> {
        val prompt = call.headers.prompt ?: return Ok(null)
        val workspace = call.workspace ?: return Ok(null)
        if (workspace.prepaidTokens == null) return Ok(null)
        return tokens.reserve(workspace.workspace, call.request, prompt.maxTokens, maxWait).fold(
            success = { Ok(it) },
            failure = { Err(refusalReasonOf(it)) },
        )
    }

    /**
     * Charges the input once and the delivered output; charges nothing if no part of a response was sent to the caller,
     * and the whole reservation if the delivered output can't be counted.
     *
     * Events count as delivered when they are written to the caller's connection.
     */
    fun settle(
        call: AdmittedCall,
        reservation: TokenReservation?,
    ) {
        if (reservation == null) return
        tokens.settle(reservation, usedTokens(call))
    }

    private fun usedTokens(call: AdmittedCall): Long {
        val prompt = call.headers.prompt
        if (prompt == null || !call.isResponseStarted) return 0
        if (call.hasUncountedOutput) return prompt.maxTokens
        if (call.deliveredEvents == 0) return prompt.inputTokens.toLong()
        val tokensPerEvent = call.tokensPerEvent ?: return prompt.maxTokens
        return prompt.inputTokens + call.deliveredEvents.toLong() * tokensPerEvent
    }

    private fun refusalReasonOf(refusal: BudgetRefusal): RefusalReason =
        when (refusal) {
            is BudgetRefusal.InsufficientBudget -> RefusalReason.BUDGET_EXHAUSTED
            is BudgetRefusal.PlatformUnavailable -> RefusalReason.BUDGET_SHORT
            is BudgetRefusal.UnknownWorkspace -> RefusalReason.BUDGET_SHORT
            is BudgetRefusal.RouterClosed -> RefusalReason.STOPPING
        }
}
