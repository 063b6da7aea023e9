package io.limpetfold.measure.budgets

/** Decides whether requests of a simulated fleet may spend tokens. Routers and workspaces are numbered from 0. */
internal interface BudgetStrategy {
    /** Number of writes to the platform so far. */
    val platformWrites: Int

    /** Number of those writes that acquire a grant or a reservation; the others report spent tokens or settle. */
    val grantWrites: Int

    fun topUp(
        workspace: Int,
        tokens: Long,
    )

    /** Returns a handle that identifies the reservation in [settle], or null if the request is refused. */
    fun reserve(
        router: Int,
        workspace: Int,
        tokens: Long,
    ): Any?

    fun settle(
        router: Int,
        handle: Any,
        usedTokens: Long,
    )

    /** Runs one round of background work of a running router; called each second. */
    fun maintain(router: Int)

    /** Ends the process of [router]; [spentTokens] is its spend per workspace, as the journal copies record it. */
    fun kill(
        router: Int,
        spentTokens: List<Long>,
    )

    /** Starts a new process on the instance of [router]. */
    fun restart(router: Int)

    /** Unspent tokens that are still allotted to ended processes. */
    fun strandedTokens(): Long
}
