package io.limpetfold.request

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import java.time.Duration
import kotlin.random.Random

/**
 * Guards against a refusal as "not run" for a request that an endpoint may have started: the caller would send it
 * again, and it could run twice.
 */
class RequestStatePropertyTest :
    FunSpec({
        val notRun = Refusal.EndpointCapacity(io.limpetfold.core.RouteId("r"), Duration.ofSeconds(1))

        fun randomEvent(random: Random): RequestEvent =
            when (random.nextInt(9)) {
                0 -> RequestEvent.Reserve
                1, 2 -> RequestEvent.Send(EndpointId("e${random.nextInt(3)}"))
                3 -> RequestEvent.NotStarted(NotStartedProof.entries.random(random))
                4 -> RequestEvent.ResponseStarted
                5 -> RequestEvent.BytesPassed(random.nextLong(1, 100))
                6 -> RequestEvent.ResponseEnded
                7 -> RequestEvent.UpstreamLost
                else -> RequestEvent.Refuse(notRun)
            }

        test("a request is never refused as not run after a byte may have reached an endpoint") {
            var refusedCount = 0
            var unknownCount = 0
            var retriedCount = 0
            repeat(20_000) { seed ->
                val random = Random(seed)
                var state: RequestState = RequestLifecycle.admit(WorkspaceId("w"), RequestId("q"))
                val schedule = mutableListOf<RequestEvent>()
                // Attempts whose bytes may have reached an endpoint and that are not proven not to have started.
                var openAttempts = 0
                repeat(40) {
                    val event = randomEvent(random)
                    val next = runCatching { RequestLifecycle.next(state, event) }.getOrNull() ?: return@repeat
                    schedule += event
                    if (event is RequestEvent.Send) {
                        if (openAttempts > 0) retriedCount++
                        openAttempts++
                    }
                    if (event is RequestEvent.NotStarted) openAttempts--
                    state = next
                    withClue("seed=$seed schedule=$schedule") {
                        if (RequestLifecycle.refusal(state)?.ran == Ran.NO) openAttempts shouldBe 0
                        // A reserved request can still be refused as not run, so it must have no open attempt.
                        if (state is RequestState.Reserved) openAttempts shouldBe 0
                    }
                }
                if (state is RequestState.Refused) refusedCount++
                if (state is RequestState.Unknown) unknownCount++
            }
            println("RequestState: seeds=20000 refused=$refusedCount unknown=$unknownCount resent=$retriedCount")
            refusedCount shouldBeGreaterThan 1_000
            unknownCount shouldBeGreaterThan 1_000
            retriedCount shouldBeGreaterThan 1_000
        }

        test("an ended request rejects further events") {
            val refused =
                RequestLifecycle.next(
                    RequestLifecycle.admit(WorkspaceId("w"), RequestId("q")),
                    RequestEvent.Refuse(notRun),
                )
            shouldThrow<IllegalStateException> { RequestLifecycle.next(refused, RequestEvent.Send(EndpointId("e"))) }
        }

        test("a request is retried only when it is idempotent or proven not started, and no byte reached the caller") {
            val policy = RetryPolicy(maxAttempts = 2)

            fun after(vararg events: RequestEvent): RequestState =
                events.fold<RequestEvent, RequestState>(
                    RequestLifecycle.admit(WorkspaceId("w"), RequestId("q")),
                    RequestLifecycle::next,
                )
            val send = RequestEvent.Send(EndpointId("e"))
            val lost = after(RequestEvent.Reserve, send, RequestEvent.UpstreamLost)
            policy.canRetry(lost, isIdempotent = true) shouldBe true
            policy.canRetry(lost, isIdempotent = false) shouldBe false

            val notStarted =
                after(RequestEvent.Reserve, send, RequestEvent.NotStarted(NotStartedProof.STATED_BY_ENDPOINT))
            policy.canRetry(notStarted, isIdempotent = false) shouldBe true

            val responding = arrayOf(RequestEvent.Reserve, send, RequestEvent.ResponseStarted)
            val broken = after(*responding, RequestEvent.BytesPassed(1), RequestEvent.UpstreamLost)
            policy.canRetry(broken, isIdempotent = true) shouldBe false
            RequestLifecycle.refusal(broken)?.ran shouldBe Ran.YES

            val twice = after(RequestEvent.Reserve, send, RequestEvent.UpstreamLost, send, RequestEvent.UpstreamLost)
            policy.canRetry(twice, isIdempotent = true) shouldBe false
        }
    })
