package io.limpetfold.testing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import kotlin.random.Random

/**
 * Guards against a scheduler that hangs, runs a task too early, or runs one of a paused dispatcher.
 *
 * Each of these looks like a fault of the code under test.
 */
class SeededSchedulerTest :
    FunSpec({
        test(
            "runUntilIdle advances the clock while a paused dispatcher has a task; schedule 12,889 of the budget tests hung here",
        ) {
            val clock = TestClock()
            val scheduler = SeededScheduler(Random(1), clock)
            val paused = scheduler.RouterDispatcher()
            val ran = mutableListOf<String>()
            CoroutineScope(paused).launch { ran += "paused" }
            paused.isPaused = true
            CoroutineScope(scheduler.RouterDispatcher()).launch {
                delay(2_000)
                ran += "delayed"
            }

            scheduler.runUntilIdle()
            ran shouldBe listOf("delayed")
            clock.instant() shouldBe TestClock().instant().plus(Duration.ofSeconds(2))
            paused.isPaused = false
            scheduler.runUntilIdle()
            ran shouldBe listOf("delayed", "paused")
        }

        test("a timeout expires at its deadline and not before") {
            val scheduler = SeededScheduler(Random(1), TestClock())
            var outcome: String? = "running"
            CoroutineScope(scheduler.RouterDispatcher()).launch {
                outcome =
                    withTimeoutOrNull(100) { "late".also { delay(1_000) } }
            }
            while (scheduler.step()) Unit
            scheduler.advance(99)
            while (scheduler.step()) Unit
            outcome shouldBe "running"
            scheduler.advance(1)
            while (scheduler.step()) Unit
            outcome shouldBe null
        }
    })
