package io.limpetfold.measure.budgets

/** Baseline: each request reserves and settles by a write to the platform, and is refused when the platform can't be reached. */
internal class UpdatePerRequest(
    private val world: BudgetWorld,
) : BudgetStrategy {
    private val paid = LongArray(world.workspaces)
    private val used = LongArray(world.workspaces)
    private val open = List(world.routers) { LongArray(world.workspaces) }
    private val settled = List(world.routers) { LongArray(world.workspaces) }
    private var stranded = 0L
    private var strandedBy = LongArray(world.routers)
    override var platformWrites = 0
        private set
    override var grantWrites = 0
        private set

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
        if (!world.reachesPlatform(router) || used[workspace] + tokens > paid[workspace]) return null
        platformWrites++
        grantWrites++
        used[workspace] += tokens
        open[router][workspace] += tokens
        return Hold(workspace, tokens)
    }

    /** A settlement that can't reach the platform is written later; until then the whole reservation counts as used. */
    override fun settle(
        router: Int,
        handle: Any,
        usedTokens: Long,
    ) {
        val hold = handle as Hold
        platformWrites++
        open[router][hold.workspace] -= hold.tokens
        settled[router][hold.workspace] += usedTokens
        late[router] += Hold(hold.workspace, hold.tokens - usedTokens)
        if (world.reachesPlatform(router)) writeLate(router)
    }

    private val late = List(world.routers) { mutableListOf<Hold>() }

    private fun writeLate(router: Int) {
        late[router].forEach { used[it.workspace] -= it.tokens }
        late[router].clear()
    }

    override fun maintain(router: Int) {
        if (world.reachesPlatform(router)) writeLate(router)
    }

    /** Reservations that were open stay used until an operator reconciles them. */
    override fun kill(
        router: Int,
        spentTokens: List<Long>,
    ) {
        strandedBy[router] =
            spentTokens.indices.sumOf { open[router][it] - (spentTokens[it] - settled[router][it]) } + late[router].sumOf { it.tokens }
    }

    override fun restart(router: Int) {
        late[router].clear()
        open[router].fill(0)
        settled[router].fill(0)
        stranded += strandedBy[router]
        strandedBy[router] = 0
    }

    override fun strandedTokens(): Long = stranded + strandedBy.sum()

    private class Hold(
        val workspace: Int,
        val tokens: Long,
    )
}
