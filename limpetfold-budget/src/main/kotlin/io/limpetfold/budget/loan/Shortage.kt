package io.limpetfold.budget.loan

import io.limpetfold.budget.BudgetRefusal

/**
 * A failed attempt to borrow, which would have the same outcome for [tokens] or more before [untilMillis].
 *
 * @property refusal the refusal for callers; null when no lender reported an insufficient budget, so that this router
 * uses its own account.
 */
internal class Shortage(
    val tokens: Long,
    val refusal: BudgetRefusal?,
    val untilMillis: Long,
)
