package io.limpetfold.burn

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.limpetfold.config.FleetConfig
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.testing.TestClock
import java.time.Duration

class SloBurnReportTest :
    FunSpec({
        test("the report sums the counts of all instances, and a short failure breaches only the short window") {
            val clock = TestClock()
            val counters = List(2) { SloBurnCounter(clock) }
            repeat(72) {
                counters.forEach { counter ->
                    repeat(100) { counter.record(ROUTE, WORKSPACE, hasFailed = false, isSlow = false) }
                }
                clock.advance(Duration.ofMinutes(5))
            }
            counters.first().let { counter ->
                repeat(80) { counter.record(ROUTE, WORKSPACE, hasFailed = true, isSlow = false) }
            }
            counters.last().let { counter ->
                repeat(150) { counter.record(ROUTE, WORKSPACE, hasFailed = false, isSlow = false) }
            }

            val records = counters.mapIndexed { index, counter -> counter.toRecord("router-$index") }
            val report = SloBurnReport.create(records, FleetConfig(maxRouters = 8), clock.instant())
            val route = report.lines.filter { it.workspace == SloBurnReport.ALL }.associateBy { it.window }

            // 80 failures among the 230 requests of the current bucket and the 200 of the previous one.
            route.getValue("5m").failed shouldBe 80
            route.getValue("5m").availabilityBurn shouldBe (18.6 plusOrMinus 0.01)
            route.getValue("5m").isBreached shouldBe true
            route.getValue("1h").isBreached shouldBe false
            route.getValue("6h").isBreached shouldBe false
        }

        test("workspaces beyond the series limit are counted together, so that the stored record stays small") {
            val counter = SloBurnCounter(TestClock())
            repeat(500) { counter.record(ROUTE, WorkspaceId("workspace-$it"), hasFailed = false, isSlow = false) }

            val record = counter.toRecord("router-1")
            record.series.size shouldBe 101
            record.series
                .single { it.workspace == SloBurnCounter.OTHER }
                .buckets
                .single()
                .total shouldBe 400
        }

        test("a new incarnation continues the counts of the instance") {
            val clock = TestClock()
            val old = SloBurnCounter(clock).apply { record(ROUTE, WORKSPACE, hasFailed = true, isSlow = false) }
            clock.advance(Duration.ofMinutes(10))
            val next = SloBurnCounter(clock).apply { record(ROUTE, WORKSPACE, hasFailed = false, isSlow = true) }
            next.restore(old.toRecord("router-1"))

            next
                .toRecord("router-1")
                .series
                .single()
                .buckets
                .map { it.failed to it.slow } shouldBe
                listOf(1L to 0L, 0L to 1L)
        }
    }) {
    private companion object {
        val ROUTE = RouteId("plans")
        val WORKSPACE = WorkspaceId("crews")
    }
}
