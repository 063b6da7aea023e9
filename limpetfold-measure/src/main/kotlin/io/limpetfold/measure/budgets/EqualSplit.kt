package io.limpetfold.measure.budgets

/** Baseline: each router has an equal part of every budget, which no other router can use; a replacement takes it over. */
internal class EqualSplit(
    private val world: BudgetWorld,
) : BudgetStrategy {
    private val paid = LongArray(world.workspaces)
    private val used = Array(world.routers) { LongArray(world.workspaces) }
    private val isDead = BooleanArray(world.routers)
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
        if (used[router][workspace] + tokens > paid[workspace] / world.routers) return null
        used[router][workspace] += tokens
        return Hold(workspace, tokens)
    }

    override fun settle(
        router: Int,
        handle: Any,
        usedTokens: Long,
    ) {
        val hold = handle as Hold
        used[router][hold.workspace] -= hold.tokens - usedTokens
    }

    override fun maintain(router: Int) = Unit

    override fun kill(
        router: Int,
        spentTokens: List<Long>,
    ) {
        isDead[router] = true
        spentTokens.forEachIndexed { workspace, tokens -> used[router][workspace] = tokens }
    }

    override fun restart(router: Int) {
        isDead[router] = false
    }

    override fun strandedTokens(): Long =
        isDead.indices.filter { isDead[it] }.sumOf { router ->
            paid.indices.sumOf { paid[it] / world.routers - used[router][it] }
        }

    private class Hold(
        val workspace: Int,
        val tokens: Long,
    )
}
