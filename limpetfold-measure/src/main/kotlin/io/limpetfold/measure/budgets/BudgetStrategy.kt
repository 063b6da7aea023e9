package io.limpetfold.measure.budgets

/** How a fleet decides whether a request may spend. Routers and workspaces are numbered from 0. */
internal interface BudgetStrategy {
    /** Writes to the platform so far. */
    val platformWrites: Int

    /** Grants and reservations among the writes; the others report spend or settle. */
    val grantWrites: Int

    fun topUp(
        workspace: Int,
        tokens: Long,
    )

    /** Returns a handle of the reservation, or null when the request is refused. */
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

    /** One round of background work of a live router; called each second. */
    fun maintain(router: Int)

    /** The process of [router] ended; [spentTokens] is what journal copies show for each workspace. */
    fun kill(
        router: Int,
        spentTokens: List<Long>,
    )

    /** A new process starts on the instance of [router]. */
    fun restart(router: Int)

    /** Unspent tokens bound to ended processes. */
    fun strandedTokens(): Long
}
