package io.limpetfold.measure.fleet

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.TopUpId
import io.limpetfold.config.ByteSize
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
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.peer.ListedInstance
import io.limpetfold.platform.HttpObjectStore
import io.limpetfold.platform.PlatformSettings
import io.limpetfold.standins.PlatformStandin
import io.limpetfold.standins.PlatformStandinSettings
import io.limpetfold.standins.StandinServer
import io.limpetfold.testing.FreePorts
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import java.nio.file.Path
import kotlin.io.path.createTempDirectory
import kotlin.io.path.writeText
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Router processes on loopback. The platform stand-in and one endpoint of each kind run in this process.
 *
 * @param engine serves `/v1/chat/completions` of the route `model`.
 * @param service serves the route `plain` under `/plain`.
 */
internal class RouterFleet(
    routers: Int,
    engine: HttpHandler,
    service: HttpHandler? = null,
) : AutoCloseable {
    private val root =
        Path.of(
            checkNotNull(System.getenv("LIMPETFOLD_ROOT")) {
                "LIMPETFOLD_ROOT is not set: start bin/measure"
            },
        )
    private val directory: Path = createTempDirectory("limpetfold-measure")
    private val eventLoops = HttpEventLoops(EVENT_LOOPS)
    private val ports = FreePorts.list(routers * PORTS_PER_ROUTER)
    private val endpoints =
        listOfNotNull("model" to engine, service?.let { "plain" to it }).map { (name, handler) ->
            name to StandinServer("127.0.0.1", 0, eventLoops, handler)
        }
    private val standin = PlatformStandin(PlatformStandinSettings(instances = instances(routers)))
    private val platform = StandinServer("127.0.0.1", 0, eventLoops, standin)
    private val processes = mutableListOf<RouterProcess>()

    /** The HTTP client that all callers of a measurement share. */
    val client =
        UpstreamClient(
            UpstreamSettings(maxConnectionsPerAddress = MAX_CALLERS),
            eventLoops,
            BufferBudget(Long.MAX_VALUE),
        )

    val routers: List<RouterProcess> get() = processes

    /** The address of the engine, for calls without a router. */
    val engineAddress: HostPort get() = endpoints[0].second.address

    /** The address on which [router] serves callers. */
    fun callersAddress(router: Int) = HostPort("127.0.0.1", ports[router * PORTS_PER_ROUTER])

    /** Calls that the platform stand-in has answered or refused, by kind, and the number of waiting watches. */
    fun platformCalls(): Map<String, Long> = standin.stats()

    /** Publishes the configuration, starts the routers and waits until they are ready. */
    fun start() {
        val store = HttpObjectStore(client, PlatformSettings(platform.address))
        runBlocking {
            ConfigPublisher(store).publish(config(), 0, "measure").getOrElse {
                error("the configuration was not published: ${it.message}")
            }
            checkNotNull(BudgetLedgerStore(store).topUp(WORKSPACE, TopUpId("2026-01-01/measure"), PAID_TOKENS).get()) {
                "the top-up of the workspace failed"
            }
        }
        repeat(ports.size / PORTS_PER_ROUTER) { startRouter(it) }
        val start = TimeSource.Monotonic.markNow()
        while (!processes.all { it.isReady() }) {
            check(
                start.elapsedNow() < READY_TIMEOUT,
            ) { "a router is not ready after $READY_TIMEOUT; its log is in $directory" }
            Thread.sleep(POLL_MILLIS)
        }
    }

    override fun close() {
        processes.forEach { it.close() }
        client.close()
        endpoints.forEach { it.second.close() }
        platform.close()
        eventLoops.close()
        directory.toFile().deleteRecursively()
    }

    private fun startRouter(index: Int) {
        val (callers, operators, peers) = ports.drop(index * PORTS_PER_ROUTER)
        val settings = directory.resolve("router-$index.yaml")
        settings.writeText(
            """
            instance: router-$index
            zone: zone-$index
            platform: 127.0.0.1:${platform.address.port}
            callers: {port: $callers}
            operators: {port: $operators, key: measure-operators-key}
            peers: {port: $peers, key: measure-fleet-key-0123456789-0123456789}
            stop: {balancerWait: 100ms, drain: 1s}
            """.trimIndent(),
        )
        processes += RouterProcess(root, settings, operators, directory.resolve("router-$index.log"))
    }

    private fun instances(routers: Int): List<ListedInstance> {
        val endpointList =
            endpoints.map { (name, process) ->
                ListedInstance(
                    InstanceId("$name-0"),
                    name,
                    VERSION,
                    ZoneId("zone-0"),
                    "127.0.0.1",
                    process.address.port,
                )
            }
        val routerList =
            List(routers) {
                val port = ports[it * PORTS_PER_ROUTER + 2]
                ListedInstance(
                    InstanceId("router-$it"),
                    ListedInstance.ROUTER_SERVICE,
                    VERSION,
                    ZoneId("zone-$it"),
                    "127.0.0.1",
                    port,
                )
            }
        return endpointList + routerList
    }

    private fun config() =
        FleetConfig(
            maxRouters = ports.size / PORTS_PER_ROUTER,
            services = persistentListOf(service("model", ServiceKind.MODEL), service("plain", ServiceKind.PLAIN)),
            routes =
                persistentListOf(
                    RouteConfig(RouteId("model"), "/v1", "model", VERSION),
                    RouteConfig(
                        RouteId("plain"),
                        "/plain",
                        "plain",
                        VERSION,
                        maxRequestBytes = ByteSize(MAX_REQUEST_BYTES),
                    ),
                ),
            workspaces = persistentListOf(WorkspaceConfig(WORKSPACE, persistentListOf(Sha256Hex.of(KEY)))),
        )

    private fun service(
        name: String,
        kind: ServiceKind,
    ) = ServiceConfig(name, kind, false, persistentListOf(ServiceVersion(VERSION, MAX_IN_FLIGHT)))

    companion object {
        /** The API key of the only workspace. */
        const val KEY = "measure-key"
        private const val PORTS_PER_ROUTER = 3
        private const val EVENT_LOOPS = 4
        private const val MAX_CALLERS = 4_000
        private const val MAX_IN_FLIGHT = 4_000
        private const val MAX_REQUEST_BYTES = 8L shl 20
        private const val PAID_TOKENS = 1_000_000_000_000L
        private const val POLL_MILLIS = 100L
        private val READY_TIMEOUT = 40.seconds
        private val WORKSPACE = WorkspaceId("measure")
        private val VERSION = VersionId("v1")
    }
}
