package io.limpetfold.gateway.state

import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.http.ConnectionLimits
import io.limpetfold.http.ConnectionLimitsSource
import io.limpetfold.routing.CallerLimits
import java.time.Duration

/**
 * The limits of callers' connections in force on this router: those of the active configuration within bounds, and
 * [defaults] where it states none.
 */
internal class CallerLimitsReplica(
    private val defaults: ConnectionLimits,
    private val log: DecisionLog,
) : ConnectionLimitsSource {
    @Volatile
    private var inForce = defaults

    override fun current(): ConnectionLimits = inForce

    /** Puts [configured] of the configuration [version] into force; logs values out of bounds, and changes. */
    fun apply(
        configured: CallerLimits,
        version: Long,
    ) {
        val bounded = BoundedValues(version)
        val limits =
            defaults.copy(
                maxHeaderBytes =
                    bounded
                        .value(
                            "header_bytes",
                            configured.maxHeaderBytes,
                            defaults.maxHeaderBytes.toLong(),
                            HEADER_BYTES,
                        ).toInt(),
                maxBodyBytes = bounded.value("body_bytes", configured.maxBodyBytes, defaults.maxBodyBytes, BODY_BYTES),
                headerTimeout =
                    bounded.duration(
                        "header_millis",
                        configured.headerTimeoutMillis,
                        defaults.headerTimeout,
                        HEADER_MILLIS,
                    ),
                idleTimeout =
                    bounded.duration(
                        "idle_millis",
                        configured.idleTimeoutMillis,
                        defaults.idleTimeout,
                        IDLE_MILLIS,
                    ),
            )
        if (limits == inForce) return
        inForce = limits
        log.info(
            "caller_limits.changed",
            "version" to version,
            "headerBytes" to limits.maxHeaderBytes,
            "bodyBytes" to limits.maxBodyBytes,
            "headerMillis" to limits.headerTimeout.toMillis(),
            "idleMillis" to limits.idleTimeout.toMillis(),
        )
    }

    private inner class BoundedValues(
        private val version: Long,
    ) {
        fun value(
            name: String,
            configured: Double?,
            default: Long,
            bounds: LongRange,
        ): Long {
            if (configured == null) return default
            val used = if (configured > 0) configured.toLong().coerceIn(bounds) else default
            if (used != configured.toLong()) {
                log.warn(
                    "caller_limits.out_of_bounds",
                    "limit" to name,
                    "version" to version,
                    "configured" to configured,
                    "used" to used,
                    "min" to bounds.first,
                    "max" to bounds.last,
                )
            }
            return used
        }

        fun duration(
            name: String,
            configuredMillis: Double?,
            default: Duration,
            boundsMillis: LongRange,
        ): Duration = Duration.ofMillis(value(name, configuredMillis, default.toMillis(), boundsMillis))
    }

    private companion object {
        /** The fields that each call needs take a few hundred bytes. */
        val HEADER_BYTES = 1024L..ConnectionLimits.MAX_HEADER_BYTES

        /** Bodies are held in one array; the memory for all bodies limits them further. */
        val BODY_BYTES = 1L..1024L * 1024 * 1024
        val HEADER_MILLIS = 100L..600_000L

        /** At least the one second that `Keep-Alive` can announce. */
        val IDLE_MILLIS = 1_000L..3_600_000L
    }
}
