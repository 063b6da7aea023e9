package io.limpetfold.standins

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.ServerSentEvent
import io.limpetfold.http.ServerSentEventReader
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.http.UpstreamSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Guards against stand-ins that hide faults of the system under test: lost writes, uncounted effects, missing faults. */
class StandinsTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(2))
        val client = autoClose(UpstreamClient(UpstreamSettings(), loops, BufferBudget()))

        class Response(
            val status: Int,
            val headers: Headers,
            val body: String,
        )

        suspend fun StandinServer.call(
            method: String,
            target: String,
            body: String? = null,
            vararg headers: Pair<String, String>,
        ): Result<Response, UpstreamError> {
            val upstreamBody = body?.let { UpstreamBody.Bytes(it.encodeToByteArray()) } ?: UpstreamBody.None
            val request = UpstreamRequest(method, target, Headers.of(*headers), upstreamBody)
            return client.send(address, request).flatMap { response ->
                response
                    .readAll(
                        10_000_000,
                    ).map { Response(response.head.status, response.head.headers, it.decodeToString()) }
            }
        }

        suspend fun serve(
            handler: HttpHandler,
            block: suspend StandinServer.() -> Unit,
        ) = StandinServer("127.0.0.1", 0, loops, handler).use { it.block() }

        fun events(response: Response?): List<ServerSentEvent> =
            ServerSentEventReader().feed(response!!.body.encodeToByteArray())

        test("guards against a start script that names a class which does not exist") {
            val script =
                generateSequence(Path.of("").toAbsolutePath()) { it.parent }
                    .map { it.resolve("bin/standin") }
                    .first { it.exists() }
                    .readText()
            val classes = Regex("io\\.limpetfold\\.standins\\.\\w+").findAll(script).map { Class.forName(it.value) }
            classes.toSet() shouldBe
                setOf(PlatformMain::class.java, EngineMain::class.java, PlainServiceMain::class.java)
        }

        test(
            "the platform accepts one of many conditional writes, and a watch returns the newest version of every object",
        ) {
            val platform = PlatformStandin()
            serve(platform) {
                val statuses =
                    coroutineScope {
                        List(20) {
                            async {
                                call(
                                    "PUT",
                                    "/v1/objects/a/b",
                                    "$it",
                                    "If-None-Match" to "*",
                                ).get()?.status
                            }
                        }.awaitAll()
                    }
                statuses.count { it == 200 } shouldBe 1
                statuses.count { it == 412 } shouldBe 19
                val watch =
                    coroutineScope {
                        val waiting =
                            async { call("GET", "/v1/objects?prefix=a/&after=1&waitMillis=5000").get()!!.body }
                        eventually(5.seconds) { platform.stats()["waitingWatches"] shouldBe 1 }
                        call("PUT", "/v1/objects/a/c", "{}", "If-None-Match" to "*").get()!!.headers["ETag"] shouldBe
                            "\"2\""
                        waiting.await()
                    }
                watch shouldBe """{"objects":[{"key":"a/c","version":2,"value":"{}"}],"position":2}"""
                call("PUT", "/v1/objects/a/d", "a".repeat(1_000_001), "If-None-Match" to "*").get()?.status shouldBe 413
            }
        }

        test(
            "the platform's faults lose responses after the effect and requests before it, and its rates are limited",
        ) {
            val time = TestTimeSource()
            val platform = PlatformStandin(PlatformStandinSettings(readsPerSecond = 10), time)
            serve(platform) {
                for (kind in listOf("ANSWER_LOST", "REQUEST_LOST")) {
                    call(
                        "POST",
                        "/admin/faults",
                        """[{"pathPrefix":"/v1/objects/","kind":"$kind"}]""",
                    ).get()?.status shouldBe
                        200
                    call(
                        "PUT",
                        "/v1/objects/$kind",
                        "{}",
                        "If-None-Match" to "*",
                    ).getError().shouldBeInstanceOf<UpstreamError>()
                }
                platform.objects
                    .list("", 0)
                    .first
                    .map { it.key } shouldContainExactly listOf("ANSWER_LOST")
                call("POST", "/admin/faults", "[]")
                val responses = List(30) { call("GET", "/v1/instances").get()!! }
                responses.map { it.status } shouldBe List(10) { 200 } + List(20) { 429 }
                responses.last().headers["Retry-After"] shouldBe "1"
                time += 1.seconds
                call("GET", "/v1/instances").get()?.status shouldBe 200
            }
        }

        test("guards against a restore of the platform that keeps later objects, versions or the era") {
            serve(PlatformStandin()) {
                call(
                    "PUT",
                    "/v1/objects/a/b",
                    "1",
                    "If-None-Match" to "*",
                ).get()!!.headers["Limpetfold-Store-Era"] shouldBe
                    null
                call("POST", "/admin/copy")
                call("PUT", "/v1/objects/a/b", "2", "If-Match" to "\"1\"")
                call("PUT", "/v1/objects/a/c", "3", "If-None-Match" to "*")
                call("POST", "/admin/restore")
                call("GET", "/v1/objects/a/c").get()?.status shouldBe 404
                val restored = call("GET", "/v1/objects/a/b").get()!!
                listOf(restored.body, restored.headers["ETag"], restored.headers["Limpetfold-Store-Era"]) shouldBe
                    listOf("1", "\"1\"", "1")
                val written = call("PUT", "/v1/objects/a/c", "4", "If-None-Match" to "*").get()!!
                listOf(written.headers["ETag"], written.headers["Limpetfold-Store-Era"]) shouldBe listOf("\"2\"", "1")
                val listed = call("GET", "/v1/objects?prefix=a/").get()!!
                listed.headers["Limpetfold-Store-Era"] shouldBe "1"
                listed.body shouldContain "\"position\":2"
            }
        }

        test("the engine streams, resumes, reports the usage of what it generated, and cancels") {
            val engine = EngineStandin(EngineStandinSettings(tokenMillis = 1.0, extraTokens = 2))
            serve(engine) {
                val complete =
                    call(
                        "POST",
                        CHAT,
                        """{"stream":true,"max_tokens":5,"messages":[{"content":"12345678"}]}""",
                        "X-Request-Id" to "r1",
                    ).get()
                events(complete).size shouldBe 9
                events(complete)[7].data shouldContain """"prompt_tokens":2,"completion_tokens":7"""
                events(call("GET", "/v1/streams/r1?after=3").get()) shouldBe events(complete).drop(3)
                val running = client.send(address, chat("r2", maxTokens = 100_000)).get()!!
                call("DELETE", "/v1/streams/r2").get()!!.body shouldContain """"state":"cancelled""""
                running.use { while (it.next().get() != null) Unit }
                engine
                    .stats()
                    .requests
                    .getValue("r2")
                    .cancelled shouldBe 1
            }
            engine.close()
        }

        test("guards against tokens that the engine generates after a cancellation has reported the usage") {
            val core = EngineCore(EngineStandinSettings(tokenMillis = 0.0), CoroutineScope(Dispatchers.Default))

            repeat(200) { index ->
                val stream =
                    checkNotNull(
                        core.start(EngineStream("late-$index", promptTokens = 1, maxTokens = 100_000, priority = 0)),
                    )
                checkNotNull(stream.event(index))
                core.cancel(stream)
                val reportedTokens = stream.generatedTokens
                stream.job?.join()
                stream.generatedTokens shouldBe reportedTokens
                core.requestCounts().getValue(stream.requestId).generatedTokens shouldBe reportedTokens
            }
        }

        test(
            "the engine rejects requests above its limit as not started, and fails all running ones after too many rejections",
        ) {
            val engine = EngineStandin(EngineStandinSettings(capacity = 1, rejectAbove = 2, collapseRejections = 3))
            serve(engine) {
                val scope = CoroutineScope(Dispatchers.Default)
                val running = client.send(address, chat("r0", maxTokens = 10_000)).get()!!
                val waiting =
                    scope.async {
                        client
                            .send(address, chat("r1", maxTokens = 10_000))
                            .get()
                            ?.head
                            ?.status
                    }
                eventually(5.seconds) { engine.stats().waiting shouldBe 1 }
                repeat(4) { call("POST", CHAT, "{}").get()!!.headers["X-Limpetfold-Not-Started"] shouldBe "true" }
                engine.stats().collapses shouldBe 1
                var error: UpstreamError? = null
                while (error == null) error = running.next().getError()
                error.shouldBeInstanceOf<UpstreamError.IncompleteResponse>()
                waiting.await() shouldBe 500
            }
            engine.close()
        }

        test(
            "a bad version fails only on its route and after its first requests; orders with a stale fencing token are refused",
        ) {
            val fault = EngineFault(EngineFault.Kind.FAIL, afterRequests = 1, route = "plans")
            val engine = EngineStandin(EngineStandinSettings(tokenMillis = 0.0, fault = fault))
            serve(engine) {
                suspend fun requestStatus(route: String) =
                    call(
                        "POST",
                        CHAT,
                        """{"max_tokens":2}""",
                        "X-Limpetfold-Route" to route,
                    ).get()?.status
                listOf(requestStatus("plans"), requestStatus("plans"), requestStatus("chat")) shouldBe
                    listOf(200, 500, 200)
                call("POST", "/v1/orders", """{"order":"load","fencing":7,"version":"v2"}""").get()?.status shouldBe 200
                call("POST", "/v1/orders", """{"order":"load","fencing":6}""").get()?.status shouldBe 409
            }
            engine.close()
        }

        test("the plain service counts effects whose responses it loses") {
            val service = PlainServiceStandin(PlainServiceSettings(loseAfterShare = 1.0))
            serve(service) {
                call("POST", "/bookings", "{}", "Idempotency-Key" to "k").getError().shouldBeInstanceOf<UpstreamError>()
                service.settings = PlainServiceSettings()
                call("POST", "/bookings", """{"van":1}""", "Idempotency-Key" to "k").get()?.body shouldBe
                    """{"id":"b2"}"""
                call("GET", "/bookings/b2").get()?.body shouldBe """{"van":1}"""
                call("GET", "/admin/effects").get()?.body shouldBe """{"total":2,"byKey":{"k":2},"byRequest":{}}"""
                service.isDraining = true
                call("POST", "/bookings", "{}").get()!!.headers["X-Draining"] shouldBe "true"
            }
        }
    }) {
    private companion object {
        const val CHAT = "/v1/chat/completions"

        fun chat(
            requestId: String,
            maxTokens: Int,
        ) = UpstreamRequest(
            "POST",
            CHAT,
            Headers.of("X-Request-Id" to requestId),
            UpstreamBody.Bytes("""{"stream":true,"max_tokens":$maxTokens}""".encodeToByteArray()),
        )
    }
}
