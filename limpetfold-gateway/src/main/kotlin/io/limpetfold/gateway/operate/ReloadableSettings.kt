package io.limpetfold.gateway.operate

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.gateway.GatewaySettings
import io.limpetfold.gateway.observe.DecisionLog

/**
 * The active settings. Changes of the retry budget and of the shutdown times apply while the router runs; all other
 * changes, such as the instance, the addresses and the store keys, apply at the next start.
 *
 * @param read reads the current settings, or returns a message that says what is wrong with them.
 */
internal class ReloadableSettings(
    private val initial: GatewaySettings,
    private val read: () -> Result<GatewaySettings, String>,
    private val log: DecisionLog,
) {
    /** The active settings. */
    @Volatile
    var current: GatewaySettings = initial
        private set

    private var lastRead = initial
    private var lastError: String? = null

    /** Reads the settings again; invalid settings are logged and leave the active ones unchanged. */
    fun reload() =
        read().fold(
            success = ::applySettings,
            failure = { reason ->
                if (reason != lastError) log.warn("settings.refused", "reason" to reason)
                lastError = reason
            },
        )

    private fun applySettings(settings: GatewaySettings) {
        lastError = null
        if (settings == lastRead) return
        lastRead = settings
        current =
            initial.copy(
                retryBudget = settings.retryBudget.copy(window = initial.retryBudget.window),
                shutdown = settings.shutdown,
            )
        log.info(
            "settings.applied",
            "repeatShare" to current.retryBudget.retryRatio,
            "repeatSlack" to current.retryBudget.minRetries,
            "graceMillis" to current.shutdown.gracePeriod.toMillis(),
            "restartNeeded" to (settings != current),
        )
    }
}
