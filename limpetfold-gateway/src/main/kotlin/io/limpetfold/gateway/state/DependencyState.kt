package io.limpetfold.gateway.state

import io.limpetfold.gateway.observe.DecisionLog

/** Whether a dependency responds; logs one line at each change. */
internal class DependencyState(
    private val name: String,
    private val log: DecisionLog,
) {
    var isAvailable: Boolean = false
        private set
    private var isLossReported = false

    fun markAvailable() {
        if (isAvailable) return
        isAvailable = true
        isLossReported = false
        log.info("dependency.regained", "dependency" to name)
    }

    fun markUnavailable(reason: String) {
        if (!isAvailable && isLossReported) return
        isAvailable = false
        isLossReported = true
        log.warn("dependency.lost", "dependency" to name, "reason" to reason)
    }
}
