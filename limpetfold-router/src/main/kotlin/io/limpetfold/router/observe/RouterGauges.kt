package io.limpetfold.router.observe

/** The values of a router's gauges, read at each scrape. */
internal class RouterGauges(
    private val bufferedBytes: () -> Number,
    private val bufferedBytesPeak: () -> Number,
    private val heldBodyBytes: () -> Number,
    private val generation: () -> Number,
    private val members: () -> Number,
    private val isMoveController: () -> Boolean,
    private val journalEntries: () -> Number,
    private val grantedTokens: () -> Number,
    private val spentTokens: () -> Number,
) {
    /** Registers all gauges at [metrics]. */
    fun register(metrics: RouterMetrics) {
        fun gauge(
            name: String,
            description: String,
            value: () -> Number,
        ) = metrics.gauge(name, description) { value().toDouble() }
        gauge("limpetfold_buffered_bytes", "Bytes held for slow readers", bufferedBytes)
        gauge("limpetfold_buffered_bytes_peak", "Most bytes ever held for slow readers", bufferedBytesPeak)
        gauge("limpetfold_held_body_bytes", "Bytes of request bodies held whole", heldBodyBytes)
        gauge("limpetfold_config_generation", "Configuration generation in force", generation)
        gauge("limpetfold_members", "Other routers heard", members)
        gauge(
            "limpetfold_move_controller",
            "1 while this router holds the move lease",
        ) { if (isMoveController()) 1 else 0 }
        gauge("limpetfold_journal_entries", "Journal copies held for peers", journalEntries)
        gauge("limpetfold_granted_tokens", "Tokens granted to this router, over all workspaces", grantedTokens)
        gauge("limpetfold_spent_tokens", "Tokens spent by this router, over all workspaces", spentTokens)
    }
}
