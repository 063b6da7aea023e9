package io.limpetfold.measure.budgets

/**
 * Baseline: each request reserves with one platform write and settles with another.
 *
 * Requests are refused while the platform is unreachable.
 */
internal class UpdatePerRequest(
    private val environment: BudgetEnvironment,
) : BudgetStrategy {
    private val paid = LongArray(environment.workspaces)
    private val used = LongArray(environment.workspaces)
    private val reserved = List(environment.routers) { LongArray(environment.workspaces) }
    private val settled = List(environment.routers) { LongArray(environment.workspaces) }
    private var stranded = 0L
    private var strandedBy = LongArray(environment.routers)
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
        if (!environment.reachesPlatform(router) || used[workspace] + tokens > paid[workspace]) return null
        platformWrites++
        grantWrites++
        used[workspace] += tokens
        reserved[router][workspace] += tokens
        return WorkspaceTokens(workspace, tokens)
    }

    /** Is written later if the platform is unreachable; until then the whole reservation counts as used. */
    override fun settle(
        router: Int,
        handle: Any,
        usedTokens: Long,
    ) {
        val reservation = handle as WorkspaceTokens
        platformWrites++
        reserved[router][reservation.workspace] -= reservation.tokens
        settled[router][reservation.workspace] += usedTokens
        unwrittenRefunds[router] += WorkspaceTokens(reservation.workspace, reservation.tokens - usedTokens)
        if (environment.reachesPlatform(router)) writeRefunds(router)
    }

    private val unwrittenRefunds = List(environment.routers) { mutableListOf<WorkspaceTokens>() }

    private fun writeRefunds(router: Int) {
        unwrittenRefunds[router].forEach { used[it.workspace] -= it.tokens }
        unwrittenRefunds[router].clear()
    }

    override fun maintain(router: Int) {
        if (environment.reachesPlatform(router)) writeRefunds(router)
    }

    /** Unsettled reservations of the killed router count as used until an operator reconciles them. */
    override fun kill(
        router: Int,
        spentTokens: List<Long>,
    ) {
        strandedBy[router] =
            spentTokens.indices.sumOf { reserved[router][it] - (spentTokens[it] - settled[router][it]) } +
            unwrittenRefunds[router].sumOf { it.tokens }
    }

    override fun restart(router: Int) {
        unwrittenRefunds[router].clear()
        reserved[router].fill(0)
        settled[router].fill(0)
        stranded += strandedBy[router]
        strandedBy[router] = 0
    }

    override fun strandedTokens(): Long = stranded + strandedBy.sum()

    private class WorkspaceTokens(
        val workspace: Int,
        val tokens: Long,
    )
}
