package io.limpetfold.measure.budgets

/** The result of one run: tokens and counts, summed over all workspaces. */
internal class BudgetRunResult {
    var requests = 0
    var refused = 0

    /** Refusals although enough paid tokens of the workspace were neither spent nor reserved anywhere in the fleet. */
    var falselyRefused = 0
    var paidTokens = 0L
    var overspentTokens = 0L
    var peakStrandedTokens = 0L
    var platformWrites = 0
    var grantWrites = 0
}
