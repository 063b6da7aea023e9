package io.limpetfold.burn

import io.limpetfold.config.FleetConfig
import io.limpetfold.config.Objectives
import io.limpetfold.core.RouteId
import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * How fast the fleet spends the error budgets of its service-level objectives.
 *
 * @property createdAt ISO-8601 time of the report.
 * @property lines one line per route, workspace and window; breached lines first, then the highest burn rate first.
 * @property history the buckets of each route, summed over all workspaces, for plots.
 */
@Serializable
data class SloBurnReport(
    val createdAt: String,
    val lines: List<SloBurnLine>,
    val history: List<SloBurnSeries>,
) {
    companion object {
        /** The workspace name of the lines that sum all workspaces of a route. */
        const val ALL = "(all)"
        private const val BUCKET_SECONDS = 300L

        /** Sums the [records] of all instances and compares them with the objectives of [config]. */
        fun create(
            records: List<SloBurnRecord>,
            config: FleetConfig,
            now: Instant,
        ): SloBurnReport {
            val series = records.flatMap { it.series }
            val byWorkspace =
                series.groupBy { it.route to it.workspace }.map { (key, parts) ->
                    mergeSeries(key.first, key.second, parts)
                }
            val byRoute = series.groupBy { it.route }.map { (route, parts) -> mergeSeries(route, ALL, parts) }
            val lines =
                (byRoute + byWorkspace).flatMap { merged ->
                    val objectives = config.route(RouteId(merged.route))?.objectives ?: Objectives()
                    SloBurnWindow.entries.mapNotNull { reportLine(merged, it, objectives, now) }
                }
            return SloBurnReport(now.toString(), lines.sortedWith(WORST_FIRST), byRoute)
        }

        private fun mergeSeries(
            route: String,
            workspace: String,
            parts: List<SloBurnSeries>,
        ): SloBurnSeries {
            val buckets =
                parts.flatMap { it.buckets }.groupBy { it.startEpochSeconds }.map { (start, same) ->
                    SloBurnBucket(start, same.sumOf { it.total }, same.sumOf { it.failed }, same.sumOf { it.slow })
                }
            return SloBurnSeries(route, workspace, buckets.sortedBy { it.startEpochSeconds })
        }

        private fun reportLine(
            series: SloBurnSeries,
            window: SloBurnWindow,
            objectives: Objectives,
            now: Instant,
        ): SloBurnLine? {
            // A bucket counts if any part of it overlaps the window, so that the newest, incomplete bucket is included.
            val from = now.minus(window.length).epochSecond - BUCKET_SECONDS
            val buckets = series.buckets.filter { it.startEpochSeconds > from }
            val total = buckets.sumOf { it.total }
            if (total == 0L) return null
            val failed = buckets.sumOf { it.failed }
            val slow = buckets.sumOf { it.slow }
            val availabilityBurn = burnRate(failed, total, objectives.availability)
            val latencyBurn = burnRate(slow, total, objectives.latencyShare)
            val isBreached = maxOf(availabilityBurn, latencyBurn) >= window.alertBurnRate
            return SloBurnLine(
                series.route,
                series.workspace,
                window.label,
                total,
                failed,
                slow,
                availabilityBurn,
                latencyBurn,
                isBreached,
            )
        }

        private fun burnRate(
            bad: Long,
            total: Long,
            objective: Double,
        ): Double = bad.toDouble() / total / (1 - objective)

        private val WORST_FIRST =
            compareByDescending<SloBurnLine> { it.isBreached }
                .thenByDescending { maxOf(it.availabilityBurn, it.latencyBurn) }
                .thenBy { it.route }
                .thenBy { it.workspace }
    }
}
