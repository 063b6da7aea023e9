package io.limpetfold.measure.budgets

/** What one run came to; tokens and counts over all workspaces. */
internal class BudgetRunResult {
    var requests = 0
    var refused = 0

    /** Refusals while the workspace had paid tokens, anywhere, that were neither spent nor reserved. */
    var falselyRefused = 0
    var paidTokens = 0L
    var overspentTokens = 0L
    var peakStrandedTokens = 0L
    var platformWrites = 0
    var grantWrites = 0
}
