package io.limpetfold.router

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.router.settings.StopSettings
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import java.io.File
import java.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against unintended changes of what callers see: status, headers, bodies and events of whole sessions.
 *
 * Each session is written to `target/sessions`. When a difference is intended, copy the file to
 * `src/test/resources/sessions`.
 */
class SessionGoldenTest :
    FunSpec({
        val fleet = TestFleet(StopSettings(Duration.ofSeconds(2), Duration.ofSeconds(10)))
        beforeSpec { fleet.start() }
        afterSpec { fleet.close() }

        class Session {
            val text = StringBuilder()

            suspend fun callAndRecord(
                title: String,
                router: Int,
                request: String,
                body: String = "",
                workspace: String? = "w0",
                vararg headers: String,
            ) = fleet.caller(router).use { record(title, it.call(request, body, workspace, *headers)) }

            fun record(
                title: String,
                response: RawCaller.Response,
            ) {
                text.append(
                    "## $title\n\n${mask(
                        response.head,
                    )}\n\n${mask(response.body)}${if (response.isComplete) "" else "\n(cut)"}\n\n",
                )
            }

            fun verify(name: String) {
                val file = "sessions/$name.txt"
                File("target/$file").apply { parentFile.mkdirs() }.writeText(text.toString())
                val expected = javaClass.getResource("/$file")?.readText().orEmpty()
                text.toString() shouldBe expected
            }
        }

        test("chat: streamed, not streamed, and more tokens than requested") {
            val session = Session()
            session.callAndRecord("streamed answer", 0, CHAT, RawCaller.chatBody(3), "w0", "X-Request-Id: s-1")
            session.callAndRecord(
                "whole answer",
                1,
                CHAT,
                RawCaller.chatBody(3, isStream = false),
                "w0",
                "X-Request-Id: s-2",
            )
            session.callAndRecord("answer without a chosen identity", 2, CHAT, RawCaller.chatBody(1, isStream = false))
            fleet.engines.forEach { it.settings = it.settings.copy(extraTokens = 4) }
            session.callAndRecord(
                "streamed answer of an engine that generates more than asked",
                0,
                CHAT,
                RawCaller.chatBody(2),
                "w1",
                "X-Request-Id: s-3",
            )
            session.callAndRecord(
                "whole answer of an engine that generates more than asked",
                1,
                CHAT,
                RawCaller.chatBody(2, false),
                "w1",
                "X-Request-Id: s-4",
            )
            fleet.engines.forEach { it.settings = it.settings.copy(extraTokens = 0) }
            session.text.append("spent by w1: ${fleet.spentTokens("w1")}\n")
            session.verify("chat")
        }

        test("bookings: first call, duplicate through another router, missing key, another workspace") {
            val session = Session()
            val key = "Idempotency-Key: van-7"
            session.callAndRecord("booking", 0, BOOK, """{"building":"A"}""", "w0", key, "X-Request-Id: b-1")
            session.callAndRecord(
                "duplicate through another router",
                1,
                BOOK,
                """{"building":"A"}""",
                "w0",
                key,
                "X-Request-Id: b-2",
            )
            session.callAndRecord(
                "same key of another workspace",
                2,
                BOOK,
                """{"building":"B"}""",
                "w1",
                key,
                "X-Request-Id: b-3",
            )
            session.callAndRecord(
                "no key where the route requires one",
                0,
                BOOK,
                """{"building":"A"}""",
                "w0",
                "X-Request-Id: b-4",
            )
            session.callAndRecord(
                "read",
                2,
                "GET /bookings/b1",
                workspace = "w0",
                headers = arrayOf("X-Request-Id: b-5"),
            )
            session.text.append("effects: ${fleet.service.effects().total}\n")
            session.verify("bookings")
        }

        test("refusals") {
            val session = Session()
            session.callAndRecord("no key", 0, CHAT, RawCaller.chatBody(3), workspace = null)
            session.callAndRecord("wrong key", 0, CHAT, RawCaller.chatBody(3), "nobody")
            session.callAndRecord("unknown route", 1, "GET /unknown")
            session.callAndRecord("wrong method", 1, "GET /v1/chat/completions", "", "w0", "X-Request-Id: r-1")
            session.callAndRecord("invalid identity", 1, CHAT, RawCaller.chatBody(3), "w0", "X-Request-Id: a:b")
            session.callAndRecord("invalid JSON", 2, CHAT, """{"model":""", "w0", "X-Request-Id: r-2")
            session.callAndRecord("max_tokens out of range", 2, CHAT, RawCaller.chatBody(0), "w0", "X-Request-Id: r-3")
            session.callAndRecord("body too large", 0, CHAT, "x".repeat(5000), "w0", "X-Request-Id: r-4")
            session.callAndRecord("exhausted budget", 0, CHAT, RawCaller.chatBody(500), "poor", "X-Request-Id: r-5")
            session.text.append(
                "started by engines for refused requests: ${fleet.engines.sumOf { e ->
                    e
                        .stats()
                        .requests.keys
                        .count { ":r-" in it }
                }}\n",
            )
            session.verify("refusals")
        }

        test(
            "draining: readiness goes off first, responses close their connections, later requests are refused as not run",
        ) {
            val session = Session()
            fleet.engines.forEach { it.settings = it.settings.copy(tokenMillis = 10.0) }
            val router = fleet.routers.removeAt(2)
            val addresses = router.callerListenAddress to router.operatorListenAddress
            coroutineScope {
                val running = RawCaller(addresses.first)
                running.sendChat("w0", 500, "d-1")
                running.readUntil("t1 ")
                val stop = async { router.stop() }
                eventually(5.seconds) { router.view().readiness shouldBe "draining" }
                RawCaller(addresses.second).use { session.record("readiness", it.call("GET /readyz")) }
                RawCaller(addresses.first).use {
                    session.record("request before the balancer noticed", it.chat("w0", 1, "d-2", isStream = false))
                }
                eventually(10.seconds) {
                    val late = RawCaller(addresses.first).use { it.chat("w0", 1, "d-3", isStream = false) }
                    late.status shouldBe 503
                    session.record("request after it", late)
                }
                session.text.append("running stream ended regularly: ${"[DONE]" in running.readRest()}\n")
                stop.await()
                running.close()
            }
            session.verify("draining")
        }

        test("the ledger contains what the routers charged") {
            val spent = fleet.spentTokens("w1")
            fleet.stopRouters()
            fleet.ledger("w1").settledTokens shouldBe spent
            fleet.ledger("w1").holders shouldBe emptyMap()
        }
    }) {
    private companion object {
        const val CHAT = "POST /v1/chat/completions"
        const val BOOK = "POST /bookings"

        /** Replaces UUIDs and times, which differ from run to run. */
        fun mask(text: String): String =
            text
                .replace(Regex("[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}"), "(uuid)")
                .replace(Regex("\\d{4}-\\d\\d-\\d\\dT[0-9:.]+Z"), "(time)")
                .trimEnd()
    }
}
