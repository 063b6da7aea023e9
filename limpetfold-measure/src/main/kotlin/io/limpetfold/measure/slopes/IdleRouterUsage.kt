package io.limpetfold.measure.slopes

import io.limpetfold.measure.fleet.RouterFleet
import io.limpetfold.standins.EngineStandin

/** Measures the platform calls and the CPU time of router processes that get no requests. */
internal object IdleRouterUsage {
    /** Wait before the measurement, so that JIT compilation after the start does not count as idle load. */
    private const val SETTLE_MILLIS = 25_000L
    private const val MILLIS_PER_MINUTE = 60_000.0

    /** Platform reads and writes per router and minute, and CPU cores per router (`cores`), measured over [millis]. */
    fun perRouterAndMinute(
        routers: Int,
        millis: Long,
    ): Map<String, Double> =
        EngineStandin().use { engine ->
            RouterFleet(routers, engine).use { fleet ->
                fleet.start()
                Thread.sleep(SETTLE_MILLIS)
                val before = fleet.platformCalls()
                val cpuBefore = fleet.routers.sumOf { it.cpu().toMillis() }
                Thread.sleep(millis)
                val cpu = fleet.routers.sumOf { it.cpu().toMillis() } - cpuBefore
                val calls = fleet.platformCalls().mapValues { (kind, count) -> count - (before[kind] ?: 0) }
                calls.filterKeys { it == "reads" || it == "writes" }.mapValues {
                    it.value * MILLIS_PER_MINUTE / millis /
                        routers
                } +
                    ("cores" to cpu.toDouble() / millis / routers)
            }
        }
}
