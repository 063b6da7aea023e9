package io.limpetfold.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import java.time.Duration
import kotlin.random.Random

class FleetRetryBudgetTest :
    FunSpec({
        test("guards against a fleet that exceeds its retry limit in any window when every call fails") {
            val policy = FleetRetryBudgetPolicy(retryRatio = 0.2, minRetries = 54.0, window = Duration.ofSeconds(10))
            for (seed in 1..20) {
                val random = Random(seed)
                val routers = List(8) { FleetRetryBudget { policy } }
                val calls = mutableListOf<Long>()
                val retries = mutableListOf<Long>()
                for (millis in 0L until 60_000L step 10) {
                    // Traffic alternates between bursts and pauses, so that windows with few calls follow windows with many.
                    val perStep = if (millis / 7_000 % 2 == 0L) 4 else 0
                    repeat(random.nextInt(perStep + 1)) {
                        val router = routers[random.nextInt(routers.size)]
                        router.onFirstAttempt(Duration.ofMillis(millis))
                        calls += millis
                        if (router.tryAcquire(routers.size, Duration.ofMillis(millis))) retries += millis
                    }
                }
                retries.size shouldBeGreaterThan 0
                for (end in 10_000L..60_000L step 250) {
                    val retried = retries.count { it in (end - 10_000) until end }
                    val inWindow = calls.count { it in (end - 10_000) until end }
                    val inWindowBefore = calls.count { it in (end - 20_000) until (end - 10_000) }
                    val inShiftedWindow = calls.count { it in (end - 15_000) until (end - 5_000) }
                    retried shouldBeLessThanOrEqual
                        (0.2 * maxOf(inWindow, inWindowBefore, inShiftedWindow) + 54).toInt()
                }
            }
        }
    })
