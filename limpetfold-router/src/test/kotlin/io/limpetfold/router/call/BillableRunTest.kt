package io.limpetfold.router.call

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.budget.Reservation
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.router.chat.ChatRequest
import io.limpetfold.router.chat.TokenMeter
import kotlinx.coroutines.Job

class BillableRunTest :
    FunSpec({
        test("guards against a run that was handed over before its coroutine was known and goes on at its engine") {
            val self = Incarnation(InstanceId("router-0"), 1)
            val body = """{"model":"m","messages":[{"role":"user","content":"c"}]}""".encodeToByteArray()
            val chat = ChatRequest.parse(body, 1, 1).getOrThrow { IllegalStateException(it) }
            val reservation = Reservation(WorkspaceId("w"), RequestId("q"), self, 1, 2)
            val run = BillableRun(chat, reservation, TokenMeter(1, 1), takeovers = 0)
            val job = Job()
            run.handOver(Incarnation(InstanceId("router-1"), 1)).outcome shouldBe TakeoverOutcome.HANDED_OVER
            run.job = job
            job.isCancelled shouldBe true
        }
    })
