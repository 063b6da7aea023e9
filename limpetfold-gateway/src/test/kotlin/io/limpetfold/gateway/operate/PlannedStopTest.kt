package io.limpetfold.gateway.operate

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.gateway.MonotonicClock
import java.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against calls that a stopping router takes and then cuts, and against calls refused that it could still answer. */
class PlannedStopTest :
    FunSpec({
        val source = TestTimeSource()
        val clock = MonotonicClock(source)
        val policy = ShutdownPolicy(Duration.ofMillis(2_300), Duration.ofSeconds(8), Duration.ofMillis(700))

        fun PlannedStop.mayTakeFor(millis: Long) = mayTake(clock.now() + Duration.ofMillis(millis))

        test("a long call is taken before the stop and while the balancer still sends, and refused afterwards") {
            val stop = PlannedStop({ policy }, clock)
            stop.mayTakeFor(12_000) shouldBe true
            stop.begin()
            source += 2_299.milliseconds
            stop.mayTakeFor(12_000) shouldBe true
            source += 1.milliseconds
            stop.mayTakeFor(12_000) shouldBe false
        }

        test("guards against a call that is taken while the tokens go back, and cut when the listener closes") {
            val stop = PlannedStop({ policy }, clock)
            stop.begin()
            source += 2_400.milliseconds
            stop.mayTakeFor(1_000) shouldBe true
            stop.refuseAll()
            stop.mayTakeFor(1_000) shouldBe false
        }

        test("a call that ends within the stop is taken until too little time is left for it") {
            val stop = PlannedStop({ policy }, clock)
            stop.begin()
            source += 6_300.milliseconds
            stop.mayTakeFor(1_000) shouldBe true
            source += 1.milliseconds
            stop.mayTakeFor(1_000) shouldBe false
            source += 2_000.milliseconds
            stop.timeLeft shouldBe Duration.ZERO
        }
    })
