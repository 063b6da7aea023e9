package io.limpetfold.router.call

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getOrThrow
import io.limpetfold.burn.SloBurnCounter
import io.limpetfold.claim.ClaimRegistry
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.ServiceVersion
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.limits.DeclaredEndpoint
import io.limpetfold.limits.EndpointCandidate
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.EndpointPermit
import io.limpetfold.limits.RouteQueueConfig
import io.limpetfold.membership.Heartbeat
import io.limpetfold.membership.Membership
import io.limpetfold.peer.ListedInstance
import io.limpetfold.rollout.MoveId
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MovePlan
import io.limpetfold.rollout.MovePreset
import io.limpetfold.rollout.MoveRecord
import io.limpetfold.rollout.MoveReport
import io.limpetfold.rollout.MoveSnapshot
import io.limpetfold.rollout.ReportQuery
import io.limpetfold.rollout.RolloutTopics
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.router.observe.CallObserver
import io.limpetfold.router.observe.RouterMetrics
import io.limpetfold.router.observe.TraceLog
import io.limpetfold.standins.StandinServer
import io.limpetfold.store.ObjectVersion
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import java.time.Duration

/** The call path of one router with one endpoint of one slot, during a move in which all calls go to that endpoint. */
internal class CallFixture(
    endpointHandler: HttpHandler,
) : AutoCloseable {
    private val clock = TestClock()
    private val hub = FakePeerHub()
    private val self = Incarnation(InstanceId("router-0"), 1)
    private val network = hub.join(self)
    private val controller = hub.join(Incarnation(InstanceId("controller"), 1))
    private val store = FakeObjectStore()
    private val loops = HttpEventLoops(1)
    private val server = StandinServer("127.0.0.1", 0, loops, endpointHandler)
    private val upstream = UpstreamClient(UpstreamSettings(), loops, BufferBudget())
    private val versionSelector = VersionSelector(store, self, network, clock, clock.monotonic)
    private val limiter = EndpointLimiter(self, ZONE, network, clock.monotonic)
    private val membership =
        Membership(
            self.instance,
            { Ok(persistentListOf(listedEndpoint())) },
            network,
            clock.monotonic,
        ) { Heartbeat(self, ZONE, generation = 0, seat = 0, isDraining = false) }
    val forwarder =
        Forwarder(
            EndpointSelector(versionSelector, membership, limiter) { },
            upstream,
            limiter,
            clock.monotonic,
        )
    private val metrics = RouterMetrics()

    suspend fun start(): CallFixture {
        membership.maintain()
        val endpoint = DeclaredEndpoint(ENDPOINT, ZONE, maxInFlight = 1)
        limiter.update(listOf(RouteQueueConfig(ROUTE)), 0, wasSeatDrained = true, 1, listOf(endpoint))
        report()
        return this
    }

    /** Serves [exchange] as a call to a plain service. */
    suspend fun serve(exchange: HttpExchange) =
        serve(exchange, ServiceCallHandler(forwarder, ClaimRegistry(self, store)))

    /** Serves [exchange] with [handler]. */
    suspend fun serve(
        exchange: HttpExchange,
        handler: CallHandler,
    ) = CallerRequestHandler(
        { CONFIG },
        { false },
        handler,
        handler,
        CallObserver(metrics, SloBurnCounter(clock), TraceLog()),
        clock,
        clock.monotonic,
    ).handle(exchange)

    suspend fun takeSlot(): EndpointPermit {
        val candidates = listOf(EndpointCandidate(ENDPOINT, ZONE))
        return limiter
            .acquire(ROUTE, WorkspaceId("other"), candidates, Duration.ofSeconds(1))
            .getOrThrow { IllegalStateException(it.toString()) }
    }

    fun runningRequests(): Double =
        metrics.registry
            .get("limpetfold_requests_running")
            .gauge()
            .value()

    fun slotsInUse(): Int = limiter.status().sumOf { it.inFlight }

    /** Lets the time pass after which a call without an outcome counts as failed. */
    suspend fun passOutcomeTimeout() {
        clock.advance(Duration.ofSeconds(61))
        versionSelector.maintain()
    }

    /** What the router reports about the move. */
    suspend fun report(): MoveReport =
        controller
            .ask(self.instance, RolloutTopics.REPORT, ReportQuery(listOf(MOVE)), Duration.ofSeconds(1))
            .getOrThrow { IllegalStateException(it.toString()) }
            .moves
            .single()

    override fun close() {
        upstream.close()
        server.close()
        loops.close()
    }

    private fun listedEndpoint(): ListedInstance =
        ListedInstance(
            InstanceId(ENDPOINT.value),
            SERVICE,
            NEW,
            ZONE,
            server.address.host,
            server.address.port,
        )

    private companion object {
        const val SERVICE = "termini"
        val ZONE = ZoneId("vic")
        val ENDPOINT = EndpointId("termini-0")
        val ROUTE = RouteId("bookings")
        val OLD = VersionId("termini-31")
        val NEW = VersionId("termini-32")
        val VERSIONS = persistentListOf(ServiceVersion(OLD, 1), ServiceVersion(NEW, 1))
        val CONFIG =
            FleetConfig(
                maxRouters = 1,
                services = persistentListOf(ServiceConfig(SERVICE, ServiceKind.PLAIN, versions = VERSIONS)),
                routes = persistentListOf(RouteConfig(ROUTE, "/bookings", SERVICE, OLD)),
                workspaces =
                    persistentListOf(
                        WorkspaceConfig(WorkspaceId("w0"), persistentListOf(Sha256Hex.of(FakeExchange.KEY))),
                    ),
            )
        val START = TestClock().millis()
        val MOVE_DURATION: Duration = Duration.ofMinutes(10)
        val MOVE =
            MoveSnapshot(
                MoveRecord(
                    MoveId("m"),
                    ROUTE,
                    OLD,
                    NEW,
                    operator = "ana",
                    startedAtMillis = START,
                    deadlineMillis = START + MOVE_DURATION.toMillis(),
                    plan = MovePlan.create(MovePreset.AVAILABILITY, MOVE_DURATION),
                    phase = MovePhase.Running(0),
                    changedBy = "ana",
                    changedAtMillis = START,
                    weight = 1.0,
                    grants = mapOf("router-0@1" to 20L),
                ),
                ObjectVersion.of(1),
            )
    }
}
