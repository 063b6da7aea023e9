package io.limpetfold.budget.loan

import io.limpetfold.budget.BudgetRefusal

/**
 * What lenders lacked a moment ago: asking again for [tokens] or more before [untilMillis] would only repeat it.
 *
 * @property refusal why a caller gets no tokens; null when no lender knew, and an account of this router's own may have them.
 */
internal class Shortage(
    val tokens: Long,
    val refusal: BudgetRefusal?,
    val untilMillis: Long,
)
