package io.limpetfold.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.store.ObjectVersion
import java.time.Duration
import kotlin.random.Random

private val START: Duration = Duration.ofSeconds(100)

class EndpointCallLimitsTest :
    FunSpec({
        test("guards against calls that arrive together and are refused though the limit is far above them") {
            val router = Router(callsPerSecond = 200.0)
            val later = START + Duration.ofSeconds(5)
            repeat(100) { router.limits.tryAcquire(router.state, later) shouldBe true }
        }

        test(
            "guards against callers that are told to stay away for minutes by a router with a small share of a limit",
        ) {
            val fleet = (1..100).map { "r-$it" }
            for (self in fleet) {
                val router = Router(callsPerSecond = 2.0, CallShare.among(self) { fleet })
                val retryAt = checkNotNull(router.picker.resumesAt("s", START))
                retryAt shouldBeGreaterThan START
                retryAt shouldBeLessThanOrEqualTo START + Duration.ofMillis(500)
            }
        }

        test("guards against a router that waits at the pace of a limit that has been raised since") {
            val router = Router(callsPerSecond = 0.05)
            val calledAt = router.limits.availableAt(router.state, START)
            router.limits.tryAcquire(router.state, calledAt) shouldBe true
            val raisedAt = calledAt + Duration.ofSeconds(1)
            router.limits.apply(router.state, CallLimitStatement(10.0, raisedAt), raisedAt)
            router.limits.availableAt(router.state, raisedAt) shouldBeLessThanOrEqualTo
                raisedAt + Duration.ofMillis(200)
        }
    }) {
    /** A router whose only endpoint has named a limit of [callsPerSecond] at [START]. */
    private class Router(
        callsPerSecond: Double,
        share: CallShare = CallShare.WHOLE,
    ) {
        private val directory =
            EndpointDirectory().also {
                val endpoint = Endpoint(EndpointId("i-0"), 1, "s", "h", 80, ZoneId("z"), "v1", 8)
                it.applyList(listOf(endpoint), ObjectVersion.of(1), START)
            }
        val picker = EndpointPicker(directory, ZoneId("z"), random = Random(1), share = share)
        val limits = picker.callLimits
        val state = checkNotNull(picker.state(EndpointId("i-0"), START))

        init {
            limits.apply(state, CallLimitStatement(callsPerSecond, START), START)
        }
    }
}
