package io.limpetfold.platform

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.Headers
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import kotlinx.coroutines.awaitCancellation
import java.net.ServerSocket
import java.time.Duration

/**
 * Guards against reporting that nothing was written when the platform may have written, and against an unknown outcome
 * when it certainly wrote nothing.
 */
class HttpObjectStoreTest :
    FunSpec({
        val loops = autoClose(HttpEventLoops(1))
        val client = autoClose(UpstreamClient(UpstreamSettings(), loops, BufferBudget()))
        val key = ObjectKey("budget/school")

        suspend fun withPlatform(
            handler: suspend (HttpExchange) -> Unit,
            callTimeout: Duration = Duration.ofSeconds(10),
            block: suspend (HttpObjectStore, HttpInstanceDirectory) -> Unit,
        ) = HttpServer(HttpServerSettings(), loops, BufferBudget(), { handler(it) }).start().use { server ->
            val settings = PlatformSettings(server.address, callTimeout)
            block(HttpObjectStore(client, settings), HttpInstanceDirectory(client, settings))
        }

        test("guards against a status of the platform that is mapped to the wrong result") {
            withPlatform({ exchange ->
                val headers = exchange.head.headers
                when (headers["If-Match"] ?: headers["If-None-Match"] ?: exchange.head.path) {
                    "*" -> exchange.respond(200, Headers.of("ETag" to "\"7\""))
                    "\"7\"" -> exchange.respond(412, Headers.of("ETag" to "\"9\""))
                    "\"8\"" -> exchange.respond(429, Headers.of("Retry-After" to "2"))
                    "\"9\"" -> exchange.respond(503)
                    "\"10\"" -> exchange.respond(502)
                    "/v1/objects/budget/school" ->
                        exchange.respond(
                            200,
                            Headers.of("ETag" to "\"7\""),
                            "{}".encodeToByteArray(),
                        )
                    "/v1/objects" ->
                        exchange.respond(
                            200,
                            body =
                                """{"objects":[{"key":"a/b","version":3,"value":"{}"}],"position":5}"""
                                    .encodeToByteArray(),
                        )
                    "/v1/instances" -> exchange.respond(200, body = "[]".encodeToByteArray())
                    else -> exchange.respond(404)
                }
            }) { store, directory ->
                store.put(key, "{}", ObjectVersion.NONE).get() shouldBe ObjectVersion.of(7)
                store.put(key, "{}", ObjectVersion.of(7)).getError() shouldBe
                    StoreError.Conflict(key, ObjectVersion.of(9))
                store.put(key, "{}", ObjectVersion.of(8)).getError() shouldBe
                    StoreError.RateLimited(Duration.ofSeconds(2))
                store.put(key, "{}", ObjectVersion.of(9)).getError().shouldBeInstanceOf<StoreError.Unavailable>()
                store.put(key, "{}", ObjectVersion.of(10)).getError().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                store.put(key, "a".repeat(1_000_001), ObjectVersion.NONE).getError() shouldBe
                    StoreError.TooLarge(1_000_001)
                store.get(key).get()?.version shouldBe ObjectVersion.of(7)
                store.get(ObjectKey("none")).get() shouldBe null
                store.list("a/").get()?.position shouldBe ObjectVersion.of(5)
                directory.list().get() shouldBe emptyList()
            }
        }

        test("versions carry the era of the response") {
            withPlatform({ exchange ->
                val isListing = exchange.head.path == "/v1/objects"
                val listing = """{"objects":[{"key":"a/b","version":3,"value":"{}"}],"position":5}"""
                exchange.respond(
                    if (exchange.head.headers["If-Match"] == null) 200 else 412,
                    Headers.of("ETag" to "\"7\"", "Limpetfold-Store-Era" to "2"),
                    (if (isListing) listing else "{}").encodeToByteArray(),
                )
            }) { store, _ ->
                val version = ObjectVersion.of(7, era = 2)
                store.get(key).get()?.version shouldBe version
                store.put(key, "{}", ObjectVersion.NONE).get() shouldBe version
                store.put(key, "{}", ObjectVersion.of(3, era = 2)).getError() shouldBe StoreError.Conflict(key, version)
                val page = store.list("a/").get()
                page?.position shouldBe ObjectVersion.of(5, era = 2)
                page?.objects?.map { it.version } shouldBe listOf(ObjectVersion.of(3, era = 2))
            }
        }

        test("a write without a response has an unknown outcome, a read without one fails as unavailable") {
            val failures =
                listOf<suspend (HttpExchange) -> Unit>(
                    { awaitCancellation() },
                    { it.respondStream(200, Headers.of("Content-Length" to "5")).abort() },
                )
            for (failure in failures) {
                withPlatform(failure, Duration.ofMillis(300)) { store, _ ->
                    store.put(key, "{}", ObjectVersion.NONE).getError().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                    store.get(key).getError().shouldBeInstanceOf<StoreError.Unavailable>()
                }
            }
        }

        test("a refused connection proves that nothing was written") {
            val unusedPort = ServerSocket(0).use { it.localPort }
            val store = HttpObjectStore(client, PlatformSettings(HostPort("127.0.0.1", unusedPort)))
            store.put(key, "{}", ObjectVersion.NONE).getError().shouldBeInstanceOf<StoreError.Unavailable>()
        }
    })
