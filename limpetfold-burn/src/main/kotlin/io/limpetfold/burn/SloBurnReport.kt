package io.limpetfold.burn

import io.limpetfold.config.FleetConfig
import io.limpetfold.config.Objectives
import io.limpetfold.core.RouteId
import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * The service-level burn of the whole fleet.
 *
 * @property createdAt ISO-8601 time of the report.
 * @property lines by route and workspace, the worst first.
 * @property history buckets of each route over all workspaces, for plots.
 */
@Serializable
data class SloBurnReport(
    val createdAt: String,
    val lines: List<BurnLine>,
    val history: List<SloBurnSeries>,
) {
    companion object {
        /** The name that stands for all workspaces of a route. */
        const val ALL = "(all)"
        private const val BUCKET_SECONDS = 300L

        /** Adds up the [records] of all instances and compares them with the objectives of [config]. */
        fun create(
            records: List<SloBurnRecord>,
            config: FleetConfig,
            now: Instant,
        ): SloBurnReport {
            val series = records.flatMap { it.series }
            val byWorkspace = series.groupBy { it.route to it.workspace }.map { (key, parts) -> merged(key.first, key.second, parts) }
            val byRoute = series.groupBy { it.route }.map { (route, parts) -> merged(route, ALL, parts) }
            val lines =
                (byRoute + byWorkspace).flatMap { one ->
                    val objectives = config.route(RouteId(one.route))?.objectives ?: Objectives()
                    BurnWindow.entries.mapNotNull { line(one, it, objectives, now) }
                }
            return SloBurnReport(now.toString(), lines.sortedWith(WORST_FIRST), byRoute)
        }

        private fun merged(
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

        private fun line(
            series: SloBurnSeries,
            window: BurnWindow,
            objectives: Objectives,
            now: Instant,
        ): BurnLine? {
            // A bucket counts when it overlaps the window, so that the newest, unfinished one is not lost.
            val from = now.minus(window.length).epochSecond - BUCKET_SECONDS
            val buckets = series.buckets.filter { it.startEpochSeconds > from }
            val total = buckets.sumOf { it.total }
            if (total == 0L) return null
            val failed = buckets.sumOf { it.failed }
            val slow = buckets.sumOf { it.slow }
            val availabilityBurn = rate(failed, total, objectives.availability)
            val latencyBurn = rate(slow, total, objectives.latencyShare)
            val isBreached = maxOf(availabilityBurn, latencyBurn) >= window.alertAt
            return BurnLine(
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

        private fun rate(
            bad: Long,
            total: Long,
            objective: Double,
        ): Double = bad.toDouble() / total / (1 - objective)

        private val WORST_FIRST =
            compareByDescending<BurnLine> { it.isBreached }
                .thenByDescending { maxOf(it.availabilityBurn, it.latencyBurn) }
                .thenBy { it.route }
                .thenBy { it.workspace }
    }
}
