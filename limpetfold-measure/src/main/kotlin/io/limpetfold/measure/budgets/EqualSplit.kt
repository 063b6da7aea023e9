package io.limpetfold.measure.budgets

/** Baseline: each router has an equal part of every budget for its exclusive use. A restarted router keeps its part. */
internal class EqualSplit(
    private val environment: BudgetEnvironment,
) : BudgetStrategy {
    private val paid = LongArray(environment.workspaces)
    private val used = Array(environment.routers) { LongArray(environment.workspaces) }
    private val isKilled = BooleanArray(environment.routers)
    override val platformWrites: Int = 0
    override val grantWrites: Int = 0

    override fun topUp(
        workspace: Int,
        tokens: Long,
    ) {
        paid[workspace] += tokens
    }

    override fun reserve(
        router: Int,
        workspace: Int,
        tokens: Long,
    ): Any? {
        if (used[router][workspace] + tokens > paid[workspace] / environment.routers) return null
        used[router][workspace] += tokens
        return Reservation(workspace, tokens)
    }

    override fun settle(
        router: Int,
        handle: Any,
        usedTokens: Long,
    ) {
        val reservation = handle as Reservation
        used[router][reservation.workspace] -= reservation.tokens - usedTokens
    }

    override fun maintain(router: Int) = Unit

    override fun kill(
        router: Int,
        spentTokens: List<Long>,
    ) {
        isKilled[router] = true
        spentTokens.forEachIndexed { workspace, tokens -> used[router][workspace] = tokens }
    }

    override fun restart(router: Int) {
        isKilled[router] = false
    }

    override fun strandedTokens(): Long =
        isKilled.indices.filter { isKilled[it] }.sumOf { router ->
            paid.indices.sumOf { paid[it] / environment.routers - used[router][it] }
        }

    private class Reservation(
        val workspace: Int,
        val tokens: Long,
    )
}
