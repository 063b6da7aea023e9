package io.limpetfold.router

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

/** Guards against requests whose endpoint could read another path, key or identity than the router decided on. */
class OneReadingRouterTest :
    FunSpec({
        val fleet = TestFleet()
        beforeSpec { fleet.start() }
        afterSpec { fleet.close() }

        fun posts() = fleet.receivedRequests.map { it.second }.filter { !it.startsWith("GET ") }

        val key = "Idempotency-Key: b-1"
        val refused =
            mapOf(
                "dot segments" to (listOf("POST /bookings/../bookings", key) to 400),
                "encoded dot segments" to (listOf("POST /bookings/%2E%2e/x", key) to 400),
                "an encoded slash" to (listOf("POST /bookings/1%2fhold", key) to 400),
                "the path of another rule, encoded" to (listOf("POST /bookings/1/%68old") to 400),
                "the path of another rule, with a parameter" to (listOf("POST /bookings/1/hold;v=1") to 400),
                "two identities" to (listOf("POST /bookings", key, "X-Request-Id: a", "X-Request-Id: b") to 400),
                "two idempotency keys" to (listOf("POST /bookings", key, "Idempotency-Key: b-2") to 400),
                "two keys" to (listOf("POST /bookings", key, "Authorization: Bearer wrong") to 400),
                "TRACE" to (listOf("TRACE /bookings", key) to 405),
            )
        for ((name, input) in refused) {
            test("guards against running a request with $name") {
                val before = posts()
                val (lines, status) = input
                fleet.caller(0).use { caller ->
                    val response = caller.call(lines.first(), "{}", "w1", *lines.drop(1).toTypedArray())
                    response.status shouldBe status
                    response.body shouldContain "\"ran\":\"no\""
                    if ("connection: close" !in response.head.lowercase()) {
                        caller.call("GET /bookings", workspace = "w1").status shouldBe 200
                    }
                }
                posts() shouldBe before
            }
        }

        test("guards against an absolute target that is refused, or a proper path that is") {
            fleet.caller(0).use { caller ->
                caller.call("POST http://router/bookings", "{}", "w1", key).status shouldBe 201
                caller.call("GET /bookings//a%20b;v=1/", workspace = "w1").status shouldBe 404
            }
            posts().last() shouldBe "POST /bookings"
            fleet.receivedRequests.last().second shouldBe "GET /bookings//a%20b;v=1/"
        }
    })
