package io.limpetfold.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.PaidTotal
import io.limpetfold.budget.PredecessorSpendLookup
import io.limpetfold.budget.loan.TokenBorrower
import io.limpetfold.budget.loan.TokenLender
import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.gateway.call.CallAdmission
import io.limpetfold.gateway.call.CallDispatcher
import io.limpetfold.gateway.call.CallHandler
import io.limpetfold.gateway.call.EndpointSender
import io.limpetfold.gateway.call.RefusalWriter
import io.limpetfold.gateway.call.TokenBudget
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.codec.EndpointDecoder
import io.limpetfold.gateway.codec.MoveOrderCodec
import io.limpetfold.gateway.observe.BudgetObserver
import io.limpetfold.gateway.observe.CallObserver
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.gateway.observe.GatewayMetrics
import io.limpetfold.gateway.operate.AccountOpener
import io.limpetfold.gateway.operate.FleetListing
import io.limpetfold.gateway.operate.FleetPolicies
import io.limpetfold.gateway.operate.NeighbourLenders
import io.limpetfold.gateway.operate.OperatorHandler
import io.limpetfold.gateway.operate.PeriodicWork
import io.limpetfold.gateway.operate.PlannedStop
import io.limpetfold.gateway.operate.Readiness
import io.limpetfold.gateway.operate.ReloadableSettings
import io.limpetfold.gateway.operate.StoreInstanceDirectory
import io.limpetfold.gateway.state.EndpointDirectoryUpdater
import io.limpetfold.gateway.state.ObjectFeed
import io.limpetfold.gateway.state.PeerSync
import io.limpetfold.gateway.state.RoutingTableReplica
import io.limpetfold.gateway.state.TimedMoveCoordinator
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.membership.Heartbeat
import io.limpetfold.membership.Member
import io.limpetfold.membership.Membership
import io.limpetfold.membership.MembershipListener
import io.limpetfold.peer.ktor.FleetKey
import io.limpetfold.peer.ktor.KtorPeerNetwork
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.RoutingTableDecoder
import io.limpetfold.store.ObjectStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.InstantSource
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * A router that forwards requests unchanged and keeps everything that must last in the platform's store.
 *
 * All decisions run on one event loop thread.
 *
 * @param readSettings reads the settings as they stand now; see [reload].
 * @param createStore makes the client of the platform's store, on the gateway's event loop.
 */
class Gateway(
    private val settings: GatewaySettings,
    private val codec: CallCodec,
    routingDecoder: RoutingTableDecoder,
    endpointDecoder: EndpointDecoder,
    moveCodec: MoveOrderCodec,
    readSettings: () -> Result<GatewaySettings, String> = { Ok(settings) },
    clock: InstantSource = InstantSource.system(),
    private val random: Random = Random.Default,
    createStore: (HttpEventLoops, BufferBudget) -> ObjectStore,
) {
    private val log = DecisionLog("gateway")
    private val monotonic = MonotonicClock()
    private val self = Incarnation(settings.instance, clock.millis())
    private val loops = HttpEventLoops(threads = 1)
    private val buffers = BufferBudget(BUFFER_BYTES)
    private val scope = CoroutineScope(SupervisorJob() + loops.dispatcher)
    private val metrics = GatewayMetrics()
    private val store = createStore(loops, buffers)
    private val client = UpstreamClient(upstreamSettings(), loops, buffers, dispatcher = loops.dispatcher)
    private val peers = KtorPeerNetwork(self, FleetKey(settings.fleetSecret), FleetPolicies.PEERS, random)
    private val instances = StoreInstanceDirectory(store, log)
    private val routing: RoutingTableReplica = RoutingTableReplica(settings.configKey, routingDecoder, log, { budget.resetPlatformBackoff() }, ::onRoutingChanged)
    private val directory = EndpointDirectory()
    private val directoryUpdater = EndpointDirectoryUpdater(directory, endpointDecoder, monotonic, log)
    private val membership: Membership =
        Membership(self.instance, instances, peers, TimeSource.Monotonic, FleetPolicies.MEMBERSHIP, memberEvents()) { heartbeat() }
    private val lenders = NeighbourLenders(self.instance, membership)
    private val policies = FleetPolicies(settings.budget, membership, lenders)
    private val listing = FleetListing(settings, instances, membership, peers, random, log)
    private val sync = PeerSync(peers, routing, directory, directoryUpdater, monotonic, loops.dispatcher)
    private val budgetObserver = BudgetObserver(log, metrics)
    private val budget: BudgetAgent =
        BudgetAgent(
            self,
            store,
            peers,
            { policies.budget() },
            random = random,
            listener = budgetObserver,
            maxWorkspacesPerRound = REPORTS_PER_ROUND,
            predecessorSpend = { _, _ -> PredecessorSpendLookup.WHOLE_GRANT },
            paidTotalOf = ::paidTotalOf,
        )
    private val lender = TokenLender(budget, budgetObserver)
    private val tokens = TokenBorrower(self, budget, peers, lenders, listener = budgetObserver)
    private val moves = TimedVersionSelector(self, monotonic::now, random)
    private val moveCoordinator = TimedMoveCoordinator(moves, moveCodec, store, peers, loops.dispatcher, log)
    private val reloadableSettings = ReloadableSettings(settings, readSettings, log)
    private val plannedStop = PlannedStop({ reloadableSettings.current.stop }, monotonic)
    private val picker = EndpointPicker(directory, settings.zone, settings.picker, random)
    private val callers = server(settings.callerListenAddress, callHandler())
    private val operatorHandler = OperatorHandler({ readiness }, metrics)
    private val operators = server(settings.readinessListenAddress, operatorHandler)
    private val metricsServer = server(settings.metricsListenAddress, operatorHandler)
    private val work = PeriodicWork(scope, random, log)

    @Volatile
    private var haveRoutersJoined = false

    @Volatile
    private var readiness = Readiness.STARTING

    /** Starts all parts; throws [java.io.IOException] when an address is in use. */
    suspend fun start() {
        sync.register()
        moveCoordinator.register()
        lender.register(peers)
        registerGauges()
        operators.start()
        callers.start()
        startFeeds()
        log.info("router.started", "instance" to self.instance, "incarnation" to self.number, "zone" to settings.zone)
        peers.start(settings.peerListenAddress.host, settings.peerListenAddress.port)
        listing.seed()
        listing.connect()
        startWork()
        metricsServer.start()
    }

    /** Reads the settings again, as after a signal that they have changed; they are read every few seconds without one too. */
    fun reload() {
        scope.launch { reloadableSettings.reload() }
    }

    /** Performs a planned stop: readiness goes off first, running calls end, grants go back, listeners close last. */
    suspend fun stop() {
        log.info("router.stopping", "running" to callers.runningCount)
        plannedStop.begin()
        readiness = Readiness.STOPPING
        callers.beginDrain()
        delay(reloadableSettings.current.stop.balancerWait.toMillis())
        callers.closeIdle()
        val isIdle = callers.awaitIdle(plannedStop.timeLeft)
        plannedStop.refuseAll()
        // A call may have been taken just before; the refusals from here on are short.
        callers.awaitIdle(plannedStop.timeLeft)
        withTimeoutOrNull(LAST_LOANS.toMillis()) { tokens.close() }
        budget.close().getError()?.let { log.warn("budget.not_returned", "reason" to it.message) }
        callers.awaitIdle(LAST_ANSWERS)
        callers.close()
        operators.close()
        metricsServer.close()
        scope.cancel()
        log.info("router.stopped", "idle" to isIdle)
    }

    private fun registerGauges() {
        metrics.gauge("limpetfold_calls_running", "Calls being handled") { callers.runningCount.toDouble() }
        metrics.gauge("limpetfold_config_version", "Version of the configuration in force") { (routing.current?.version ?: 0).toDouble() }
        metrics.gauge("limpetfold_routers_heard", "Other routers heard a moment ago") { membership.members().size.toDouble() }
        metrics.gauge("limpetfold_buffered_bytes", "Bytes held for slow readers") { buffers.usedBytes.toDouble() }
    }

    private fun startFeeds() {
        scope.launch { ObjectFeed(store, settings.configKey.path.substringBeforeLast('/') + "/", routing, policies::configFeed, random).run() }
        scope.launch { ObjectFeed(store, settings.endpointPrefix, directoryUpdater, policies::endpointFeed, random).run() }
        scope.launch { ObjectFeed(store, settings.movePrefix, moveCoordinator, policies::moveFeed, random).run() }
        scope.launch {
            while (readiness == Readiness.STARTING && (routing.current == null || !directory.isInitialized)) delay(READY_CHECK.toMillis())
            if (readiness == Readiness.STARTING) readiness = Readiness.READY
            log.info("router.ready", "config" to routing.current?.version, "endpoints" to directory.position)
        }
    }

    private fun startWork() {
        scope.launch { listing.register() }
        work.every(HALF_SECOND, "membership") {
            membership.maintain()
            listing.connect()
        }
        work.every(HALF_SECOND, "peer sync") { sync.maintain(membership.members()) }
        work.every(QUARTER_SECOND, "moves") { moveCoordinator.maintain(membership.members()) }
        val accounts = AccountOpener(tokens, { listing.isSettled }, { routing.current }, random)
        work.every(QUARTER_SECOND, "accounts") { accounts.maintain() }
        work.every(HALF_SECOND, "budget") { budget.maintain() }
        work.every(ONE_SECOND, "loans") { tokens.maintain() }
        work.every(FOUR_SECONDS, "budget holders") {
            if (haveRoutersJoined) budget.requestLedgerSync()
            haveRoutersJoined = false
        }
        work.every(FOUR_SECONDS, "settings") { reloadableSettings.reload() }
        work.every(TEN_SECONDS, "endpoints") { picker.evictRemoved(monotonic.now()) }
    }

    private fun heartbeat() =
        Heartbeat(
            self,
            settings.zone,
            routing.current?.version ?: 0,
            null,
            readiness == Readiness.STOPPING,
            directory.position,
        )

    private fun memberEvents() =
        object : MembershipListener {
            override fun memberJoined(member: Member) {
                haveRoutersJoined = true
            }
        }

    private fun onRoutingChanged(
        before: RoutingTable?,
        now: RoutingTable,
    ) {
        val paidBefore = before?.workspaces?.associate { it.workspace to it.prepaidTokens }.orEmpty()
        val changed = now.workspaces.filter { it.prepaidTokens != paidBefore[it.workspace] }
        if (changed.isEmpty()) return
        budget.resetPlatformBackoff()
        for (workspace in changed.take(MAX_LOGGED_WORKSPACES)) {
            log.info(
                "config.prepaid",
                "workspace" to workspace.workspace,
                "version" to now.version,
                "before" to paidBefore[workspace.workspace],
                "tokens" to workspace.prepaidTokens,
            )
        }
    }

    private fun paidTotalOf(workspace: WorkspaceId): PaidTotal? {
        val table = routing.current ?: return null
        return table.workspace(workspace.value)?.prepaidTokens?.let { PaidTotal(it, table.version) }
    }

    private fun callHandler(): CallHandler {
        val sender = EndpointSender(client, codec, monotonic, settings.calls)
        val dispatcher = CallDispatcher(picker, sender, monotonic, settings.calls, { reloadableSettings.current.retries }, moves) { membership.routerCount }
        return CallHandler(
            CallAdmission(codec, { routing.current }, random, plannedStop),
            TokenBudget(tokens),
            dispatcher,
            RefusalWriter(settings.calls, random),
            codec,
            monotonic,
            settings.calls,
            CallObserver(log, metrics),
        )
    }

    private fun server(
        address: HostPort,
        handler: HttpHandler,
    ) = HttpServer(
        HttpServerSettings(host = address.host, port = address.port, idleTimeout = CALLER_IDLE),
        loops,
        buffers,
        handler,
        loops.dispatcher,
    )

    private fun upstreamSettings() =
        UpstreamSettings(
            connectTimeout = CONNECT_TIMEOUT,
            pooledIdleTimeout = POOLED_IDLE,
            requestIdHeader = codec.requestIdHeader,
            acceptsCloseDelimitedResponses = true,
        )

    private companion object {
        const val BUFFER_BYTES = 48L * 1024 * 1024
        const val REPORTS_PER_ROUND = 24
        const val MAX_LOGGED_WORKSPACES = 32

        /** Refusals that are being written when the tokens have gone back end within this time. */
        val LAST_ANSWERS: Duration = Duration.ofMillis(100)

        /** Lenders answer within a few milliseconds; what does not go back counts as spent. */
        val LAST_LOANS: Duration = Duration.ofMillis(200)
        val READY_CHECK: Duration = Duration.ofMillis(10)
        val HALF_SECOND: Duration = Duration.ofMillis(500)
        val QUARTER_SECOND: Duration = Duration.ofMillis(250)
        val ONE_SECOND: Duration = Duration.ofSeconds(1)
        val FOUR_SECONDS: Duration = Duration.ofSeconds(4)
        val TEN_SECONDS: Duration = Duration.ofSeconds(10)

        /** A new connection takes a few milliseconds between zones; a silent address is given up soon enough to try another endpoint. */
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)
        val POOLED_IDLE: Duration = Duration.ofSeconds(4)

        /** Callers use connections that were idle for up to 12 s. */
        val CALLER_IDLE: Duration = Duration.ofSeconds(30)
    }
}
