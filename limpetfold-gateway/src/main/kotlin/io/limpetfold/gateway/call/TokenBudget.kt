package io.limpetfold.gateway.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.budget.BudgetRefusal
import io.limpetfold.budget.loan.TokenBorrower
import io.limpetfold.budget.loan.TokenReservation
import java.time.Duration

/** Reserves the most that a call can consume, and charges what it did consume. */
internal class TokenBudget(
    private val tokens: TokenBorrower,
) {
    /** Returns what was reserved; null for a call that consumes no prepaid tokens. */
    suspend fun reserve(
        call: AdmittedCall,
        maxWait: Duration,
    ): Result<TokenReservation?, RefusalReason> {
        val prompt = call.headers.prompt ?: return Ok(null)
        val workspace = call.workspace ?: return Ok(null)
        if (workspace.prepaidTokens == null) return Ok(null)
        return tokens.reserve(workspace.workspace, call.request, prompt.maxTokens, maxWait).fold(
            success = { Ok(it) },
            failure = { Err(reasonOf(it)) },
        )
    }

    /**
     * Charges the input once and the output that was delivered; a workspace whose caller got no part of an answer pays nothing.
     *
     * Events count as delivered when they are written to the caller's connection.
     */
    fun settle(
        call: AdmittedCall,
        reservation: TokenReservation?,
    ) {
        if (reservation == null) return
        val input = call.headers.prompt?.inputTokens ?: 0
        val used = if (call.isAnswerBegun) input + call.deliveredEvents.toLong() * call.tokensPerEvent else 0
        tokens.settle(reservation, used)
    }

    private fun reasonOf(refusal: BudgetRefusal): RefusalReason =
        when (refusal) {
            is BudgetRefusal.InsufficientBudget -> RefusalReason.BUDGET_EXHAUSTED
            is BudgetRefusal.PlatformUnavailable -> RefusalReason.BUDGET_SHORT
            is BudgetRefusal.UnknownWorkspace -> RefusalReason.BUDGET_SHORT
            is BudgetRefusal.RouterClosed -> RefusalReason.STOPPING
        }
}
