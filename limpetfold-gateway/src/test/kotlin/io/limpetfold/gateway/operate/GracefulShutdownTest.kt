package io.limpetfold.gateway.operate

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.gateway.MonotonicClock
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/**
 * Guards against a router in shutdown that accepts calls and then aborts them, or refuses calls that it could still
 * complete.
 */
class GracefulShutdownTest :
    FunSpec({
        val source = TestTimeSource()
        val clock = MonotonicClock(source)
        val policy = ShutdownPolicy(Duration.ofMillis(2_300), Duration.ofSeconds(8), Duration.ofMillis(700))

        fun GracefulShutdown.acceptsCallFor(millis: Long) = acceptsCall(clock.now() + Duration.ofMillis(millis))

        test("a long call is accepted before the shutdown and during the balancer wait, and refused afterwards") {
            val shutdown = GracefulShutdown({ policy }, clock)
            shutdown.acceptsCallFor(12_000) shouldBe true
            shutdown.start()
            source += 2_299.milliseconds
            shutdown.acceptsCallFor(12_000) shouldBe true
            source += 1.milliseconds
            shutdown.acceptsCallFor(12_000) shouldBe false
        }

        test(
            "guards against a call that is accepted while the tokens are returned, and aborted when the listener closes",
        ) {
            val shutdown = GracefulShutdown({ policy }, clock)
            shutdown.start()
            source += 2_400.milliseconds
            shutdown.acceptsCallFor(1_000) shouldBe true
            shutdown.stopAccepting()
            shutdown.acceptsCallFor(1_000) shouldBe false
        }

        test(
            "a call with a deadline before the end of the drain is accepted, and refused once the remaining time is too short for it",
        ) {
            val shutdown = GracefulShutdown({ policy }, clock)
            shutdown.start()
            source += 6_300.milliseconds
            shutdown.acceptsCallFor(1_000) shouldBe true
            source += 1.milliseconds
            shutdown.acceptsCallFor(1_000) shouldBe false
            source += 2_000.milliseconds
            shutdown.timeLeft shouldBe Duration.ZERO
        }
    })
