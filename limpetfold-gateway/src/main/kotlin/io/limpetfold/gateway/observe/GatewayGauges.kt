package io.limpetfold.gateway.observe

/** The values that a gateway shows at each scrape of its metrics. */
internal class GatewayGauges(
    private val runningCalls: () -> Number,
    private val configVersion: () -> Number,
    private val storeEra: () -> Number,
    private val heardRouters: () -> Number,
    private val heldTokens: () -> Number,
    private val quarantinedPromptParts: () -> Number,
    private val isQuarantineUnsaved: () -> Boolean,
    private val requestBodyBytes: () -> Number,
    private val bufferedBytes: () -> Number,
) {
    fun registerIn(metrics: GatewayMetrics) {
        fun gauge(
            name: String,
            description: String,
            value: () -> Number,
        ) = metrics.gauge(name, description) { value().toDouble() }

        gauge("limpetfold_calls_running", "Calls being handled", runningCalls)
        gauge("limpetfold_config_version", "Version of the configuration in force", configVersion)
        gauge("limpetfold_store_era", "How often the store has come back from an older copy", storeEra)
        gauge("limpetfold_routers_heard", "Other routers heard a moment ago", heardRouters)
        gauge("limpetfold_budget_held_tokens", "Tokens held and neither spent nor reserved", heldTokens)
        gauge(
            "limpetfold_quarantined_prompt_parts",
            "Prompt parts whose calls are refused",
            quarantinedPromptParts,
        )
        gauge("limpetfold_quarantine_unsaved", "1 while the store lacks what this router knows of the quarantine") {
            if (isQuarantineUnsaved()) 1 else 0
        }
        gauge("limpetfold_request_body_bytes", "Reserved for request bodies", requestBodyBytes)
        gauge("limpetfold_buffered_bytes", "Bytes held for slow readers", bufferedBytes)
    }
}
