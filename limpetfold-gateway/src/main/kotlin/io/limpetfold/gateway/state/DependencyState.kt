package io.limpetfold.gateway.state

import io.limpetfold.gateway.observe.DecisionLog

/** Whether a dependency answers; logs one line each time that changes. */
internal class DependencyState(
    private val name: String,
    private val log: DecisionLog,
) {
    var isUp: Boolean = false
        private set
    private var isReported = false

    fun up() {
        if (isUp) return
        isUp = true
        isReported = false
        log.info("dependency.regained", "dependency" to name)
    }

    fun down(reason: String) {
        if (!isUp && isReported) return
        isUp = false
        isReported = true
        log.warn("dependency.lost", "dependency" to name, "reason" to reason)
    }
}
