package io.limpetfold.gateway.observe

import io.limpetfold.quarantine.QuarantineListener

/** Logs the changes of the quarantine of prompt parts. */
internal class QuarantineObserver(
    private val log: DecisionLog,
) : QuarantineListener {
    override fun onQuarantined(
        part: String,
        crashes: Int,
    ) = log.warn("prompt_part.quarantined", "part" to part, "crashes" to crashes.takeIf { it > 0 })

    override fun onReleased(part: String) = log.warn("prompt_part.released", "part" to part)
}
