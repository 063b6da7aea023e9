package io.limpetfold.router

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.membership.SeatRecord
import io.limpetfold.router.settings.StopSettings
import io.limpetfold.store.TypedObject
import java.time.Duration
import kotlin.time.AbstractLongTimeSource
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Guards against a router that uses an expired seat after its process was paused, and against bills that are lost or
 * doubled when the drain time ends with running requests.
 */
class PauseAndStopTest :
    FunSpec({
        test(
            "a router that resumes after its seat was taken over: it sends no new request under its old share of slots",
        ) {
            TestFleet().use { fleet ->
                val time = SkippableTimeSource()
                fleet.start(count = 1, monotonic = time)
                fleet.caller(0).use { it.chat("w1", 1).isDone shouldBe true }
                // All seats pass to other routers while this one is paused.
                repeat(TestFleet.ROUTERS) {
                    val key = "seat/$it"
                    val record = SeatRecord(Incarnation(InstanceId("other-$it"), 1), wasDrained = false)
                    val value = TypedObject.JSON.encodeToString(SeatRecord.serializer(), record)
                    fleet.platform.objects.put(
                        key,
                        value,
                        fleet.platform.objects
                            .get(key)
                            ?.version ?: 0,
                    )
                }
                time.skip(25.seconds)
                val caller = fleet.caller(0)
                caller.sendChat("w1", 1, "woken")
                eventually(5.seconds) {
                    fleet.routers[0]
                        .view()
                        .endpoints
                        .sumOf { it.baseSlots } shouldBe 0
                }
                fleet.engineOf("w1:woken") shouldBe -1
                caller.close()
                fleet.stopRouters()
            }
        }

        test(
            "requests cut off at the end of the drain time: what was generated is billed once, and a retry is not billed again",
        ) {
            TestFleet(StopSettings(Duration.ZERO, Duration.ofSeconds(1))).use { fleet ->
                fleet.start()
                fleet.engines.forEach { it.settings = it.settings.copy(tokenMillis = 5.0) }
                val caller = fleet.caller(0)
                caller.sendChat("w2", 2000, "cut")
                caller.readUntil("t10 ")
                fleet.routers.removeAt(0).stop()
                caller.readRest() shouldNotContain "[DONE]"
                val generated =
                    fleet.engines[
                        fleet.engineOf(
                            "w2:cut",
                        ),
                    ].stats()
                        .requests
                        .getValue("w2:cut")
                        .generatedTokens
                generated shouldBeLessThan 2000
                fleet.ledger("w2").settledTokens shouldBe generated + PROMPT_TOKENS
                val retry = fleet.caller(0).use { it.chat("w2", 2000, "cut") }
                retry.status shouldBe 409
                retry.body shouldContain "\"ran\":\"yes\""
                fleet.stopRouters()
                fleet.ledger("w2").settledTokens shouldBe generated + PROMPT_TOKENS
            }
        }
    }) {
    /** A monotonic clock that can jump ahead, as a process observes it after a pause. */
    private class SkippableTimeSource : AbstractLongTimeSource(DurationUnit.NANOSECONDS) {
        @Volatile
        private var skippedNanos = 0L

        fun skip(by: kotlin.time.Duration) {
            skippedNanos += by.inWholeNanoseconds
        }

        override fun read(): Long = System.nanoTime() + skippedNanos
    }

    private companion object {
        const val PROMPT_TOKENS = 4L
    }
}
