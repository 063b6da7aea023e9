package io.limpetfold.request

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.testing.TestClock
import java.time.Duration

class RetryBudgetTest :
    FunSpec({
        test("retries are limited to a share of the successes plus the floor, and idle time accumulates no retries") {
            val clock = TestClock()
            val budget = RetryBudget(RetryBudgetPolicy(retriesPerSuccess = 0.1, floorPerSecond = 1.0), clock.monotonic)

            fun available() = generateSequence { budget.tryAcquire() }.takeWhile { it }.count()
            available() shouldBe 1
            repeat(100) { budget.onSuccess() }
            available() shouldBe 10
            clock.advance(Duration.ofHours(1))
            available() shouldBe 1
            repeat(10_000) { budget.onSuccess() }
            available() shouldBe 50
        }
    })
