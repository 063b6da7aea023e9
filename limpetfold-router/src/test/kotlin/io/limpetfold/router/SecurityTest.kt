package io.limpetfold.router

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.TopUpId
import io.limpetfold.config.ConfigPublisher
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.ServiceVersion
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.peer.ListedInstance
import io.limpetfold.router.settings.ListenSettings
import io.limpetfold.router.settings.OperatorSettings
import io.limpetfold.router.settings.PeerSettings
import io.limpetfold.router.settings.RouterSettings
import io.limpetfold.router.settings.StopSettings
import io.limpetfold.standins.EngineStandin
import io.limpetfold.standins.EngineStandinSettings
import io.limpetfold.standins.PlatformStandin
import io.limpetfold.standins.PlatformStandinSettings
import io.limpetfold.standins.StandinServer
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FreePorts
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.slf4j.LoggerFactory
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

class SecurityTest :
    FunSpec({
        val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger
        val logEvents = ListAppender<ILoggingEvent>()
        val previousLevel = root.level
        val loops = HttpEventLoops()
        val engine = EngineStandin(EngineStandinSettings(version = "1", tokenMillis = 1.0))
        val engineServer = StandinServer("127.0.0.1", 0, loops, engine)
        val platform =
            PlatformStandin(
                PlatformStandinSettings(
                    instances = listOf(listedInstance("engine", "jezik", engineServer.address.port)),
                ),
            )
        val platformServer = StandinServer("127.0.0.1", 0, loops, platform)
        val ports = FreePorts.list(2)
        val router =
            Router(
                RouterSettings(
                    "router-1",
                    "vic",
                    ListenSettings(port = ports[0]),
                    OperatorSettings(port = ports[1], key = OPERATORS_KEY),
                    PeerSettings(port = 0, key = FLEET_KEY),
                    platformServer.address.toString(),
                    stop = StopSettings(Duration.ZERO, Duration.ofSeconds(1)),
                ),
            )

        fun getFromOperators(
            path: String,
            key: String? = null,
        ) = send(ports[1], path, key)

        beforeSpec {
            root.level = Level.DEBUG
            logEvents.start()
            root.addAppender(logEvents)
            val written = FakeObjectStore()
            ConfigPublisher(written).publish(CONFIG, 0, "ana")
            listOf(
                "a",
                "b",
            ).forEach { BudgetLedgerStore(written).topUp(WorkspaceId(it), TopUpId("2026-01-01/1"), 10_000) }
            written
                .list("")
                .get()
                ?.objects
                ?.forEach { platform.objects.put(it.key.path, it.value, 0) }
            router.start()
            while (getFromOperators("/readyz").statusCode() != 200) delay(50)
        }
        afterSpec {
            router.stop()
            root.detachAppender(logEvents)
            root.level = previousLevel
            listOf(platformServer, engineServer, engine, loops).forEach { it.close() }
        }

        test(
            "guards against a workspace that reads, resumes or pays for the request of another one with the same identity",
        ) {
            val own = send(ports[0], "/chat", KEY_A, chat(9), "same")
            val other = send(ports[0], "/chat", KEY_B, chat(5), "same")

            own.statusCode() shouldBe 200
            other.statusCode() shouldBe 200
            engine.stats().requests.keys shouldContainAll listOf("a:same", "b:same")
            val spent =
                Json
                    .parseToJsonElement(getFromOperators("/status", OPERATORS_KEY).body())
                    .jsonObject
                    .getValue("budgets")
                    .jsonArray
                    .associate {
                        it.jsonObject
                            .getValue("workspace")
                            .jsonPrimitive.content to
                            it.jsonObject.getValue("spentTokens")
                    }
            val used =
                listOf(
                    own,
                    other,
                ).map {
                    Regex("\"total_tokens\":(\\d+)")
                        .find(it.body())
                        ?.groupValues
                        ?.get(1)
                        ?.toLong()
                }
            listOf("a", "b").map { spent.getValue(it).jsonPrimitive.long } shouldBe used
            (used[0] == used[1]) shouldBe false
        }

        test(
            "guards against a request that runs without a valid key, or with a key hash of the configuration as its key",
        ) {
            val started = engine.stats().started
            listOf(null, "", "wrong", Sha256Hex.of(KEY_A), "$KEY_A ,").forEach {
                send(ports[0], "/chat", it, chat(5)).statusCode() shouldBe 401
            }
            engine.stats().started shouldBe started
            val stored = FleetConfig.serializer().let { Json.encodeToString(it, CONFIG) }
            listOf(KEY_A, KEY_B).forEach { stored shouldNotContain it }
        }

        test("guards against status, traces and spends that are readable without the operators' key") {
            val protectedPaths = listOf("/status", "/requests/same", "/spent/a/router-1@1")
            for (path in protectedPaths) {
                listOf(null, KEY_A, OPERATORS_KEY.dropLast(1), "").forEach {
                    getFromOperators(path, it).statusCode() shouldBe
                        401
                }
            }
            protectedPaths.map { getFromOperators(it, OPERATORS_KEY).statusCode() } shouldBe listOf(200, 200, 404)
            listOf("/healthz", "/readyz", "/metrics").forEach { getFromOperators(it).statusCode() shouldBe 200 }
        }

        test("guards against deeply nested JSON that overflows the stack of a router thread") {
            val deep = "[".repeat(100_000)
            listOf(
                deep,
                "{\"model\":\"m\",\"messages\":$deep${"]".repeat(100_000)}}",
                "{\"a\":".repeat(100_000),
            ).forEach {
                val response = send(ports[0], "/chat", KEY_A, it)
                response.statusCode() shouldBe 400
                response.body() shouldContain "nested deeper"
            }
            send(ports[0], "/chat", KEY_A, chat(5)).statusCode() shouldBe 200
        }

        test("guards against keys and bodies that leak into log lines, metrics, status and traces") {
            listOf("$BODY not JSON", chat(5)).forEach { send(ports[0], "/chat", KEY_A, it, "traced") }
            send(ports[0], "/chat?token=$BODY", KEY_A, chat(5))
            send(ports[0], "/nowhere", "$KEY_A-wrong", chat(5))
            val logged =
                synchronized(logEvents) { logEvents.list.toList() }.joinToString("\n") { event ->
                    "${event.formattedMessage} ${event.mdcPropertyMap} ${event.throwableProxy?.message}"
                }
            logged shouldContain "router: answered"
            val shown = getFromOperators("/requests/traced", OPERATORS_KEY).body()
            shown shouldContain "answered status=200"
            val everything =
                logged + shown + getFromOperators("/metrics").body() + getFromOperators("/status", OPERATORS_KEY).body()
            listOf(KEY_A, KEY_B, Sha256Hex.of(KEY_A), OPERATORS_KEY, FLEET_KEY, BODY).forEach {
                everything shouldNotContain
                    it
            }
        }
    }) {
    private companion object {
        const val KEY_A = "secret-key-of-workspace-a"
        const val KEY_B = "secret-key-of-workspace-b"
        const val OPERATORS_KEY = "secret-key-of-operators"
        const val FLEET_KEY = "secret-key-of-the-fleet-with-32-characters"
        const val BODY = "secret-text-of-a-body"
        val CONFIG =
            FleetConfig(
                maxRouters = 1,
                services =
                    persistentListOf(
                        ServiceConfig(
                            "jezik",
                            ServiceKind.MODEL,
                            versions = persistentListOf(ServiceVersion(VersionId("1"), 8)),
                        ),
                    ),
                routes = persistentListOf(RouteConfig(RouteId("chat"), "/chat", "jezik", VersionId("1"))),
                workspaces =
                    persistentListOf(
                        WorkspaceConfig(WorkspaceId("a"), persistentListOf(Sha256Hex.of(KEY_A))),
                        WorkspaceConfig(WorkspaceId("b"), persistentListOf(Sha256Hex.of(KEY_B))),
                    ),
            )
        val CLIENT: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

        fun listedInstance(
            name: String,
            service: String,
            port: Int,
        ) = ListedInstance(InstanceId(name), service, VersionId("1"), ZoneId("vic"), "127.0.0.1", port)

        fun chat(maxTokens: Int) =
            """{"model":"m","max_tokens":$maxTokens,"messages":[{"role":"user","content":"$BODY"}]}"""

        fun send(
            port: Int,
            path: String,
            key: String?,
            body: String? = null,
            request: String? = null,
        ): HttpResponse<String> {
            val builder = HttpRequest.newBuilder(URI("http://127.0.0.1:$port$path")).timeout(Duration.ofSeconds(20))
            key?.let { builder.header("Authorization", "Bearer $it") }
            request?.let { builder.header("X-Request-Id", it) }
            body?.let { builder.POST(HttpRequest.BodyPublishers.ofString(it)) }
            return CLIENT.send(builder.build(), HttpResponse.BodyHandlers.ofString())
        }
    }
}
