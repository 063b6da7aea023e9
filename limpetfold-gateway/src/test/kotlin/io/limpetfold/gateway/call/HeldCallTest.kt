package io.limpetfold.gateway.call

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import java.time.Duration
import kotlin.time.AbstractLongTimeSource
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit
import kotlin.time.TestTimeSource

/** Calls that wait between the choice of their endpoint and their first byte: for a connection, or for the processor. */
class HeldCallTest :
    FunSpec({
        test("guards against a call at an endpoint that began to leave while its connection opened") {
            DispatchFixture(TestTimeSource()).use { path ->
                val leaving = path.endpoint("i-1")
                val other = path.endpoint("i-2")
                path.onLoop {
                    path.change(leaving)
                    val end = async(start = CoroutineStart.UNDISPATCHED) { path.call() }
                    path.change(leaving.copy(isDraining = true), other)
                    end.await() shouldBe CallEnd.Completed(200)
                }
                path.runs.map { it.first } shouldContainExactly listOf("i-2")
            }
        }

        test("guards against a call that runs although no endpoint was left while its connection opened") {
            DispatchFixture(TestTimeSource()).use { path ->
                val leaving = path.endpoint("i-1")
                path.onLoop {
                    path.change(leaving)
                    val end = async(start = CoroutineStart.UNDISPATCHED) { path.call() }
                    path.change(leaving.copy(isDraining = true))
                    end.await() shouldBe CallEnd.Refused(RefusalReason.NO_ENDPOINT)
                }
                path.runs shouldContainExactly emptyList()
            }
        }

        test("guards against a call that is sent after its time has run out") {
            val time = TestTimeSource()
            DispatchFixture(time).use { path ->
                path.onLoop {
                    path.change(path.endpoint("i-1"))
                    val end = async(start = CoroutineStart.UNDISPATCHED) { path.call(Duration.ofSeconds(2)) }
                    time += 2.seconds
                    end.await() shouldBe CallEnd.Refused(RefusalReason.TOO_LATE)
                }
                path.runs shouldContainExactly emptyList()
            }
        }

        test("guards against a call that counts as possibly run because it ended while its connection opened") {
            DispatchFixture(TestTimeSource()).use { path ->
                val call = path.admit()
                path.onLoop {
                    path.change(path.endpoint("i-1"))
                    val dispatch = launch(start = CoroutineStart.UNDISPATCHED) { path.dispatch(call) }
                    dispatch.cancel()
                    dispatch.join()
                }
                call.mayHaveRun shouldBe false
                path.runs shouldContainExactly emptyList()
            }
        }

        test("guards against an endpoint that is told more time than is left after a wait for the processor") {
            val time = TestTimeSource()
            DispatchFixture(time).use { path ->
                path.onLoop {
                    path.change(path.endpoint("i-1"))
                    val end = async(start = CoroutineStart.UNDISPATCHED) { path.call(Duration.ofSeconds(2)) }
                    time += 800.milliseconds
                    end.await() shouldBe CallEnd.Completed(200)
                }
                path.runs shouldContainExactly listOf("i-1" to 1_200L)
            }
        }

        test("guards against a call that is never sent because the processor is always late") {
            DispatchFixture(HurryingTimeSource(150.milliseconds.inWholeMilliseconds)).use { path ->
                path.onLoop {
                    path.change(path.endpoint("i-1"))
                    path.call(Duration.ofSeconds(60)) shouldBe CallEnd.Completed(200)
                }
                path.runs.map { it.first } shouldContainExactly listOf("i-1")
            }
        }
    }) {
    /** Time goes on by [stepMillis] with each reading. */
    private class HurryingTimeSource(
        private val stepMillis: Long,
    ) : AbstractLongTimeSource(DurationUnit.MILLISECONDS) {
        private var nowMillis = 0L

        override fun read(): Long = nowMillis.also { nowMillis += stepMillis }
    }
}
