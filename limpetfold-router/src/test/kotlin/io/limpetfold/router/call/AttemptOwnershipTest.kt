package io.limpetfold.router.call

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.http.Headers
import io.limpetfold.http.cancelOnDisconnect
import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.rollout.OutcomeCounts
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

/** Guards against a choice of a version or a slot at an endpoint that stays taken after its call has ended. */
class AttemptOwnershipTest :
    FunSpec({
        test("a caller that leaves the queue for a slot during a move: no request and no failure of the new version") {
            CallFixture({ it.respond(200) }).use { fixture ->
                fixture.start()
                val slot = fixture.takeSlot()
                val exchange = FakeExchange()
                coroutineScope {
                    launch { fixture.serve(exchange, cancelledOnDisconnect(fixture)) }
                    eventually(5.seconds) { fixture.report().usedRequests shouldBe 1 }
                    exchange.callerDisconnected.complete()
                }
                fixture.passOutcomeTimeout()
                fixture.report().usedRequests shouldBe 0
                fixture.report().guard.failures shouldBe OutcomeCounts()
                slot.release(EndpointOutcome.Ignored)
                fixture.slotsInUse() shouldBe 0
            }
        }

        test("a call that ends by an exception of its response: its slot is free, and the version has no failure") {
            CallFixture({ it.respond(200, Headers.of("Content-Type" to "application/json"), "{}".encodeToByteArray()) })
                .use { fixture ->
                    fixture.start()
                    shouldThrow<IllegalStateException> {
                        fixture.serve(FakeExchange { error("the response can't be written") })
                    }
                    fixture.slotsInUse() shouldBe 0
                    fixture.passOutcomeTimeout()
                    fixture.report().usedRequests shouldBe 1
                    fixture.report().guard.failures shouldBe OutcomeCounts()
                }
        }
    }) {
    private companion object {
        /** Forwards a call as the handler of model services does: until its caller disconnects. */
        fun cancelledOnDisconnect(fixture: CallFixture) =
            CallHandler { call ->
                val admitted = RequestLifecycle.admit(call.workspace.workspace, call.request)
                val reserved = RequestLifecycle.next(admitted, RequestEvent.Reserve)
                call.exchange.cancelOnDisconnect {
                    fixture.forwarder.forward(
                        call,
                        reserved,
                        isIdempotent = true,
                        isBodyReusable = { true },
                        beforeSend = { null },
                        buildRequest = { error("the call waits for a slot") },
                    )
                }
                CallEnd.Cancelled
            }
    }
}
