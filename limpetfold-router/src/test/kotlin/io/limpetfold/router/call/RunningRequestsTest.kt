package io.limpetfold.router.call

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.http.RequestBodyException
import io.limpetfold.http.RequestHead

class RunningRequestsTest :
    FunSpec({
        test("guards against a request that ended by an exception and is counted as running forever") {
            CallFixture({ it.respond(200) }).use { fixture ->
                fixture.start()
                val tooLarge = FakeExchange(bodyFraming = RequestHead.BodyFraming.Length(99_999_999))
                shouldThrow<RequestBodyException> { fixture.serve(tooLarge) }
                fixture.runningRequests() shouldBe 0.0
                shouldThrow<IllegalStateException> { fixture.serve(FakeExchange()) { error("a fault of the handler") } }
                fixture.runningRequests() shouldBe 0.0
            }
        }
    })
