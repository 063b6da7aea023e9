package io.limpetfold.router

import com.charleskorn.kaml.Yaml
import com.github.michaelbull.result.get
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.limpetfold.budget.BudgetLedger
import io.limpetfold.budget.TopUpId
import io.limpetfold.config.ByteSize
import io.limpetfold.config.CallRule
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.Publication
import io.limpetfold.config.QueueLimits
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
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.cancelOnDisconnect
import io.limpetfold.peer.ListedInstance
import io.limpetfold.router.settings.BufferSettings
import io.limpetfold.router.settings.ListenSettings
import io.limpetfold.router.settings.OperatorSettings
import io.limpetfold.router.settings.PeerSettings
import io.limpetfold.router.settings.RouterSettings
import io.limpetfold.router.settings.StopSettings
import io.limpetfold.standins.EngineStandin
import io.limpetfold.standins.EngineStandinSettings
import io.limpetfold.standins.PlainServiceStandin
import io.limpetfold.standins.PlatformObjects
import io.limpetfold.standins.PlatformStandin
import io.limpetfold.standins.StandinServer
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FreePorts
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.awaitCancellation
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A fleet in this JVM: a platform, two engines and a booking service, each endpoint behind a [TcpFaultProxy], and
 * routers in front of them.
 */
internal class TestFleet(
    val stopSettings: StopSettings = StopSettings(Duration.ZERO, Duration.ofSeconds(10)),
) : AutoCloseable {
    private val loops = HttpEventLoops(4)
    val platform = PlatformStandin()
    private val platformServer = StandinServer(HOST, 0, loops, platform)
    val engines =
        List(2) { EngineStandin(EngineStandinSettings(version = ENGINE_VERSION, tokenMillis = 1.0, capacity = 16)) }
    val service = PlainServiceStandin()

    /** Method and path of every request that reached an endpoint, by instance. */
    val receivedRequests = ConcurrentLinkedQueue<Pair<String, String>>()

    /** While true, the engines leave requests unread until their connection is closed. */
    @Volatile
    var isHoldingRequests = false
    private val endpoints =
        engines.mapIndexed { index, engine -> "jezik-$index" to engine as HttpHandler } + ("termini-0" to service)
    private val endpointServers =
        endpoints.map { (name, handler) ->
            StandinServer(HOST, 0, loops) {
                receivedRequests += name to "${it.head.method} ${it.head.path}"
                if (isHoldingRequests &&
                    it.head.path.startsWith("/v1/chat/")
                ) {
                    it.cancelOnDisconnect { awaitCancellation() }
                }
                handler.handle(it)
            }
        }
    private val proxies = endpointServers.map { TcpFaultProxy(it.address) }
    val engineProxies = proxies.take(engines.size)
    val serviceProxy = proxies.last()

    private val ports = FreePorts.list(ROUTERS)
    val routers = mutableListOf<Router>()
    private val routerProcesses = mutableListOf<RouterProcess>()

    init {
        val plain = FleetConfig(maxRouters = ROUTERS, services = SERVICES, routes = ROUTES, workspaces = workspaces())
        check(plain.problems().isEmpty()) { plain.problems().first().toString() }
        val config = plain.copy(generation = 1, publication = Publication("test", Instant.EPOCH, plain.contentHash()))
        platform.objects.put("config/current", TypedObject.JSON.encodeToString(FleetConfig.serializer(), config), 0)
        WORKSPACES.forEach { topUpWorkspace(it, if (it == "poor") 100 else 1_000_000) }
        publishInstances()
    }

    /** Publishes the instance list with all routers and endpoints. */
    fun publishInstances(isEngineLeaving: Boolean = false) =
        platform.instances.replace(
            ports.mapIndexed {
                i,
                port,
                ->
                listedInstance("router-$i", ListedInstance.ROUTER_SERVICE, "1", ZONES[i], port)
            } +
                engineProxies.mapIndexed {
                    i,
                    proxy,
                    ->
                    listedInstance("jezik-$i", "jezik", ENGINE_VERSION, ZONES[i], proxy.address.port, isEngineLeaving)
                } +
                listedInstance("termini-0", "termini", "termini-31", ZONES[0], serviceProxy.address.port),
        )

    fun settings(
        index: Int,
        callerPort: Int = 0,
        operatorPort: Int = 0,
    ) = RouterSettings(
        instance = "router-$index",
        zone = ZONES[index],
        callers = ListenSettings(port = callerPort),
        operators = OperatorSettings(port = operatorPort, key = OPERATOR_KEY),
        peers = PeerSettings(port = ports[index], key = "0123456789abcdef0123456789abcdef"),
        platform = platformServer.address.toString(),
        buffers = BufferSettings(process = ByteSize(1L shl 20)),
        stop = stopSettings,
    )

    /** Starts a router as a separate process. */
    fun startProcess(index: Int): RouterProcess {
        val (callerPort, operatorPort) = FreePorts.list(2)
        val file = createTempFile("router-$index", ".yaml")
        file.writeText(
            Yaml.default.encodeToString(RouterSettings.serializer(), settings(index, callerPort, operatorPort)),
        )
        return RouterProcess(file, HostPort(HOST, callerPort), HostPort(HOST, operatorPort)).also {
            routerProcesses +=
                it
        }
    }

    /** Starts routers in this JVM and waits until each has the others as members and a share of all endpoints. */
    suspend fun start(
        count: Int = ROUTERS,
        monotonic: TimeSource = TimeSource.Monotonic,
    ): TestFleet {
        repeat(count) { index -> Router(settings(index), monotonic = monotonic).also { routers += it }.start() }
        eventually(40.seconds) {
            routers.forEach {
                it.view().readiness shouldBe "ready"
                it.view().members.size shouldBe count - 1
                it.view().endpoints.count { endpoint -> endpoint.isInRotation && endpoint.baseSlots > 0 } shouldBe
                    endpoints.size
            }
        }
        return this
    }

    fun caller(router: Int) = RawCaller(routers[router].callerListenAddress)

    /** The tokens that all routers have charged to [workspace]. */
    fun spentTokens(workspace: String): Long =
        routers.sumOf { router ->
            router
                .view()
                .budgets
                .filter { it.workspace == workspace }
                .sumOf { it.spentTokens }
        }

    fun reservedTokens(workspace: String): Long =
        routers.sumOf { router ->
            router
                .view()
                .budgets
                .filter { it.workspace == workspace }
                .sumOf { it.reservedTokens }
        }

    fun ledger(workspace: String): BudgetLedger =
        TypedObject.JSON.decodeFromString(
            BudgetLedger.serializer(),
            checkNotNull(platform.objects.get("budget/$workspace")).value,
        )

    /** The index of the engine that started the request with [identity], or -1. */
    fun engineOf(identity: String): Int = engines.indexOfFirst { identity in it.stats().requests }

    suspend fun stopRouters() {
        routers.forEach { it.stop() }
        routers.clear()
    }

    override fun close() {
        routerProcesses.forEach { it.close() }
        proxies.forEach { it.close() }
        endpointServers.forEach { it.close() }
        engines.forEach { it.close() }
        platformServer.close()
        loops.close()
    }

    private fun topUpWorkspace(
        workspace: String,
        tokens: Long,
    ) {
        val ledger = checkNotNull(BudgetLedger().topUp(TopUpId("2026-12-04/test"), tokens).get())
        val value = TypedObject.JSON.encodeToString(BudgetLedger.serializer(), ledger)
        check(platform.objects.put("budget/$workspace", value, 0) is PlatformObjects.PutResult.Stored)
    }

    private fun listedInstance(
        name: String,
        service: String,
        version: String,
        zone: String,
        port: Int,
        isLeaving: Boolean = false,
    ) = ListedInstance(InstanceId(name), service, VersionId(version), ZoneId(zone), HOST, port, isLeaving)

    companion object {
        const val HOST = "127.0.0.1"
        const val ROUTERS = 3
        const val OPERATOR_KEY = "operators-key-of-the-tests"
        private const val ENGINE_VERSION = "jezik-7"
        private val ZONES = listOf("bezigrad", "vic", "moste")
        val WORKSPACES = List(13) { "w$it" } + "poor"
        private val SERVICES =
            persistentListOf(
                ServiceConfig(
                    "jezik",
                    ServiceKind.MODEL,
                    versions = persistentListOf(ServiceVersion(VersionId(ENGINE_VERSION), 60)),
                ),
                ServiceConfig(
                    "termini",
                    ServiceKind.PLAIN,
                    versions = persistentListOf(ServiceVersion(VersionId("termini-31"), 300)),
                ),
            )
        private val ROUTES =
            persistentListOf(
                RouteConfig(
                    RouteId("chat"),
                    "/v1/chat/completions",
                    "jezik",
                    VersionId(ENGINE_VERSION),
                    idleTimeout = Duration.ofSeconds(5),
                    maxRequestBytes = ByteSize(4096),
                ),
                RouteConfig(
                    RouteId("short"),
                    "/v1/short",
                    "jezik",
                    VersionId(ENGINE_VERSION),
                    connectTimeout = Duration.ofMillis(500),
                    idleTimeout = Duration.ofMillis(900),
                    requestTimeout = Duration.ofSeconds(1),
                    queue = QueueLimits(maxWait = Duration.ofMillis(500)),
                ),
                RouteConfig(
                    RouteId("bookings"),
                    "/bookings",
                    "termini",
                    VersionId("termini-31"),
                    maxRequestBytes = ByteSize(8L shl 20),
                    calls =
                        persistentListOf(
                            CallRule("POST", "/bookings", isRepeatable = false, isIdempotencyKeyRequired = true),
                            CallRule(
                                "POST",
                                "/bookings/{id}/hold",
                                isRepeatable = false,
                                isIdempotencyKeyRequired = true,
                            ),
                        ),
                ),
            )

        private fun workspaces() =
            WORKSPACES
                .map {
                    WorkspaceConfig(WorkspaceId(it), persistentListOf(Sha256Hex.of("key-$it")))
                }.toImmutableList()
    }
}
