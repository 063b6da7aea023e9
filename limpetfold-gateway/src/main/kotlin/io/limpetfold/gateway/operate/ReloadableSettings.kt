package io.limpetfold.gateway.operate

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.gateway.GatewaySettings
import io.limpetfold.gateway.observe.DecisionLog

/**
 * The settings in force. The bound on repeats and the times of a planned stop follow the settings file while the router runs; what names the
 * router, its addresses and its store counts from the next start.
 *
 * @param read reads the settings as they stand now, or says what is wrong with them.
 */
internal class ReloadableSettings(
    private val atStart: GatewaySettings,
    private val read: () -> Result<GatewaySettings, String>,
    private val log: DecisionLog,
) {
    /** The settings in force. */
    @Volatile
    var current: GatewaySettings = atStart
        private set

    private var lastRead = atStart
    private var lastRefusal: String? = null

    /** Reads the settings again; ones that can't be used leave those in force as they are. */
    fun reload() =
        read().fold(
            success = ::take,
            failure = { reason ->
                if (reason != lastRefusal) log.warn("settings.refused", "reason" to reason)
                lastRefusal = reason
            },
        )

    private fun take(settings: GatewaySettings) {
        lastRefusal = null
        if (settings == lastRead) return
        lastRead = settings
        current = atStart.copy(retries = settings.retries.copy(window = atStart.retries.window), stop = settings.stop)
        log.info(
            "settings.applied",
            "repeatShare" to current.retries.retryRatio,
            "repeatSlack" to current.retries.minRetries,
            "graceMillis" to current.stop.gracePeriod.toMillis(),
            "restartNeeded" to (settings != current),
        )
    }
}
