package io.limpetfold.measure.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/** Guards against figures that come from the scheduling of the simulation instead of the limiter. */
class LimitsSimulationTest :
    FunSpec({
        val settings = LimitsSettings(duration = Duration.ofSeconds(40))

        test("virtual time runs delays and timeouts in order and stops at its end") {
            val time = VirtualTimeDispatcher()
            val seen = mutableListOf<String>()
            val scope = CoroutineScope(time + Job())
            scope.launch {
                delay(20)
                seen += "b@${time.nowMillis}"
            }
            scope.launch {
                withTimeoutOrNull(10) { delay(1_000) }
                seen += "a@${time.nowMillis}"
            }
            scope.launch {
                delay(31)
                seen += "late"
            }
            time.runUntil(30)
            seen shouldContainExactly listOf("a@10", "b@20")
        }

        test(
            "the same seed gives the same result, within the limit of in-flight requests, for every scenario and policy",
        ) {
            for (scenario in LimitsScenario.entries) {
                for (isLending in listOf(true, false)) {
                    val results = List(2) { LimitsSimulation(settings, scenario, 3, isLending).run() }
                    results[0].waitsMillis shouldBe results[1].waitsMillis
                    results[0].maxInFlight shouldBeLessThanOrEqual settings.maxInFlight
                    results[0].waitsMillis.size shouldBeGreaterThan 100
                }
            }
        }
    })
