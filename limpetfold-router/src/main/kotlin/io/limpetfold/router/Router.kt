package io.limpetfold.router

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.BudgetListener
import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.budget.PredecessorSpendLookup
import io.limpetfold.budget.PromptEstimator
import io.limpetfold.budget.WitnessCandidates
import io.limpetfold.burn.SloBurnCounter
import io.limpetfold.claim.ClaimListener
import io.limpetfold.claim.ClaimRegistry
import io.limpetfold.claim.ClaimWitnesses
import io.limpetfold.config.ConfigWatcher
import io.limpetfold.config.RouterStatus
import io.limpetfold.config.TradeoffPreset
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.lease.LeaseClient
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.membership.Heartbeat
import io.limpetfold.membership.Member
import io.limpetfold.membership.Membership
import io.limpetfold.membership.MembershipListener
import io.limpetfold.membership.SeatClient
import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.ktor.FleetKey
import io.limpetfold.peer.ktor.KtorPeerNetwork
import io.limpetfold.peer.ktor.PeerAddress
import io.limpetfold.platform.HttpInstanceDirectory
import io.limpetfold.platform.HttpObjectStore
import io.limpetfold.request.JournalPeer
import io.limpetfold.request.RequestJournal
import io.limpetfold.rollout.MoveController
import io.limpetfold.rollout.RolloutListener
import io.limpetfold.rollout.Verdict
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.rollout.VersionSelectorPolicy
import io.limpetfold.router.call.CallJournal
import io.limpetfold.router.call.CallerRequestHandler
import io.limpetfold.router.call.EndpointSelector
import io.limpetfold.router.call.EngineClient
import io.limpetfold.router.call.Forwarder
import io.limpetfold.router.call.ModelCallHandler
import io.limpetfold.router.call.RequestBodyBuffer
import io.limpetfold.router.call.RunRegistry
import io.limpetfold.router.call.ServiceCallHandler
import io.limpetfold.router.observe.CallObserver
import io.limpetfold.router.observe.RouterGauges
import io.limpetfold.router.observe.RouterMetrics
import io.limpetfold.router.observe.TraceLog
import io.limpetfold.router.operate.HttpEndpointOrderSender
import io.limpetfold.router.operate.HttpEndpointProbe
import io.limpetfold.router.operate.LimiterUpdater
import io.limpetfold.router.operate.LoadPoller
import io.limpetfold.router.operate.Maintenance
import io.limpetfold.router.operate.OperatorsApi
import io.limpetfold.router.operate.OtherRouters
import io.limpetfold.router.operate.Readiness
import io.limpetfold.router.operate.RouterProcessProbe
import io.limpetfold.router.operate.RouterView
import io.limpetfold.router.operate.StatusReporter
import io.limpetfold.router.settings.RouterSettings
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.EraListener
import io.limpetfold.store.StoreError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.time.Duration
import java.time.InstantSource
import kotlin.random.Random
import kotlin.time.TimeSource

/** One router process: creates the components, starts them in order and stops them in the reverse order. */
internal class Router(
    private val settings: RouterSettings,
    private val clock: InstantSource = InstantSource.system(),
    private val monotonic: TimeSource = TimeSource.Monotonic,
    private val random: Random = Random.Default,
) {
    private val self = Incarnation(InstanceId(settings.instance), clock.millis())
    private val zone = ZoneId(settings.zone)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val metrics = RouterMetrics()
    private val traces = TraceLog()
    private val burn = SloBurnCounter(clock)

    private val eventLoops = HttpEventLoops()
    private val buffers =
        BufferBudget(
            settings.buffers.process.bytes,
            settings.buffers.stream.bytes
                .toInt(),
        )
    private val upstream = UpstreamClient(UpstreamSettings(), eventLoops, buffers)
    private val store: EraCheckedStore =
        EraCheckedStore(HttpObjectStore(upstream, settings.platformSettings()), EraEvents(), timeSource = monotonic)
    private val directory = HttpInstanceDirectory(upstream, settings.platformSettings())
    private val peers = KtorPeerNetwork(self, FleetKey(settings.peers.key))

    private val config: ConfigWatcher = ConfigWatcher(store, peers, monotonic, random)
    private val membership: Membership =
        Membership(self.instance, directory, peers, monotonic, listener = MemberEvents()) { heartbeat() }
    private val otherRouters = OtherRouters(self.instance, zone, membership)
    private val seatClient: SeatClient =
        SeatClient(self, store, monotonic, era = { store.era }, seatsOfOthers = otherRouters::seats) {
            membership.hasEnded(it)
        }
    private val budget =
        BudgetAgent(
            self,
            store,
            peers,
            ::budgetPolicy,
            monotonic,
            random,
            budgetEvents(),
            predecessorSpendLookup = ::predecessorSpend,
            witnessCandidates = WitnessCandidates { membership.runningRouters(zone) },
        )
    private val limiter =
        EndpointLimiter(self, zone, peers, monotonic, random, HttpEndpointProbe(upstream, ::addressOf))
    private val limiterUpdater = LimiterUpdater(config, membership, seatClient, limiter)
    private val versionSelector =
        VersionSelector(
            store,
            self,
            peers,
            clock,
            monotonic,
            VersionSelectorPolicy(outcomeTimeout = CallerRequestHandler.MAX_REQUEST_DURATION.plusSeconds(10)),
            WithdrawalEvents(),
        )
    private val leaseClient = LeaseClient(store, self, monotonic)
    private val moveController =
        MoveController(
            store,
            leaseClient,
            versionSelector,
            peers,
            directory,
            HttpEndpointOrderSender(upstream, membership) { config.current },
            clock,
            monotonic,
        )
    private val loadPoller = LoadPoller(upstream, membership, limiter, { config.current })
    private val claims: ClaimRegistry =
        ClaimRegistry(
            self,
            store,
            clock,
            monotonic,
            listener = ClaimEvents(),
            routers = otherRouters::claiming,
            witnesses = ClaimWitnesses(self.instance, peers, monotonic, isInSameZone = otherRouters::isInSameZone),
        )
    private val journal = RequestJournal(self, zone, peers, ::journalPeers, monotonic)
    private val runs = RunRegistry(self)
    private val bodyBuffer = RequestBodyBuffer(settings.buffers.bodies.bytes)
    private val statusReporter = StatusReporter(store, burn, monotonic, ::routerStatus)
    private val maintenance = Maintenance(scope, random)

    private val callerServer = HttpServer(callerSettings(), eventLoops, buffers, callerRequestHandler())
    private val operatorServer = HttpServer(operatorSettings(), eventLoops, buffers, operatorsApi())

    /** Where callers connect; valid after [start]. */
    val callerListenAddress: HostPort get() = callerServer.address

    /** Where operators connect; valid after [start]. */
    val operatorListenAddress: HostPort get() = operatorServer.address

    private val startEnded = Job()

    @Volatile
    private var readiness = Readiness.STARTING

    @Volatile
    private var isRefusingRequests = false

    /** Until the moves were read, the router would send to the old version of a completed move. */
    @Volatile
    private var hasReadMoves = false

    /** Starts all components; throws [java.io.IOException] when an address is in use. */
    suspend fun start() =
        try {
            startServing()
        } finally {
            startEnded.complete()
        }

    private suspend fun startServing() {
        gauges().register(metrics)
        peers.start(settings.peers.host, settings.peers.port)
        membership.setSeedRouters(settings.peers.seedsOrNull().orEmpty())
        peers.setPeers(membership.connectionTargets().map { it.toPeerAddress() })
        operatorServer.start()
        startMaintenance()
        callerServer.start()
        LOGGER.info("router: started instance={} incarnation={} zone={}", self.instance, self.number, zone)
    }

    /**
     * Shuts down gracefully: no running request is cut off before the drain time ends. While [start] is running, this
     * waits for it, so that all that it opens is closed.
     */
    suspend fun stop() {
        LOGGER.info("router: graceful shutdown began running={}", callerServer.runningCount)
        readiness = Readiness.DRAINING
        callerServer.beginDrain()
        delay(settings.stop.balancerWait.toMillis())
        startEnded.join()
        isRefusingRequests = true
        val isIdle = callerServer.awaitIdle(settings.stop.drain)
        if (!isIdle) {
            LOGGER.warn("router: drain time ended with running requests running={}", callerServer.runningCount)
            // The requests cut off are billed before the grants are returned. Afterwards nothing could be charged for
            // them, and a retry would be billed again.
            callerServer.closeAllConnections()
            callerServer.awaitIdle(CLOSED_CONNECTIONS_WAIT)
        }
        maintenance.stop()
        limiter.close()
        returnGrants()
        if (!claims.handOver()) LOGGER.warn("router: claims were not handed over to enough peers")
        seatClient.release(limiter.isSeatDrained)
        leaseClient.release()
        statusReporter.reportNow()
        callerServer.close()
        operatorServer.close()
        peers.close()
        upstream.close()
        scope.cancel()
        eventLoops.close()
        LOGGER.info("router: stopped instance={}", self.instance)
    }

    /**
     * Closes the budget with retries, because after a failed close the grant of a workspace stays stranded until an
     * operator reclaims it.
     */
    private suspend fun returnGrants() {
        repeat(CLOSE_ATTEMPTS) {
            val error = budget.close().getError() ?: return
            LOGGER.warn("router: grants were not returned cause=\"{}\"", error.message)
            delay(CLOSE_RETRY_DELAY.toMillis())
        }
    }

    private fun startMaintenance() {
        maintenance.every(MAINTENANCE_INTERVAL, "membership") {
            membership.maintain()
            peers.setPeers(membership.connectionTargets().map { it.toPeerAddress() })
            membership.members().forEach { config.onPeerGeneration(it.instance, it.generation) }
        }
        maintenance.every(MAINTENANCE_INTERVAL, "config") { config.maintain() }
        maintenance.every(CONFIG_WATCH_INTERVAL, "config watch") { while (config.watch()) applyConfig() }
        maintenance.every(MAINTENANCE_INTERVAL, "seat") { config.current?.let { seatClient.maintain(it.maxRouters) } }
        maintenance.every(LIMITS_INTERVAL, "limits") {
            applyConfig()
            limiter.maintain()
        }
        maintenance.every(MAINTENANCE_INTERVAL, "load reports") { loadPoller.maintain() }
        maintenance.every(MAINTENANCE_INTERVAL, "budget") { budget.maintain() }
        maintenance.every(MAINTENANCE_INTERVAL, "moves") {
            versionSelector.maintain()
            hasReadMoves = true
        }
        maintenance.every(MAINTENANCE_INTERVAL, "lease") { leaseClient.maintain() }
        maintenance.every(MAINTENANCE_INTERVAL, "move controller") { moveController.maintain() }
        maintenance.every(CLAIMS_INTERVAL, "claims") {
            claims.maintain()
            journal.maintain()
        }
        maintenance.every(MAINTENANCE_INTERVAL, "restored claims") { claims.maintainRestored() }
        maintenance.every(MAINTENANCE_INTERVAL, "status") { statusReporter.maintain() }
    }

    private fun applyConfig() {
        limiterUpdater.apply()
        if (readiness == Readiness.STARTING && seatClient.seat != null && hasReadMoves) readiness = Readiness.READY
    }

    private fun callerRequestHandler(): CallerRequestHandler {
        val endpointSelector = EndpointSelector(versionSelector, membership, limiter, limiterUpdater::refreshSeat)
        val forwarder = Forwarder(endpointSelector, upstream, limiter, monotonic)
        val engineClient = EngineClient(upstream, membership, limiter, versionSelector)
        val callJournal =
            CallJournal(self, journal, runs, peers) {
                membership.hasEnded(it) || RouterProcessProbe(membership).hasEnded(it.instance)
            }
        return CallerRequestHandler(
            { config.current },
            { isRefusingRequests },
            ModelCallHandler(
                forwarder,
                engineClient,
                budget,
                PromptEstimator(),
                callJournal,
                runs,
                bodyBuffer,
                clock,
                scope,
            ),
            ServiceCallHandler(forwarder, claims),
            CallObserver(metrics, burn, traces),
            clock,
            monotonic,
        )
    }

    private fun operatorsApi() =
        OperatorsApi(
            settings.operators.key,
            { readiness },
            ::view,
            traces,
            metrics,
            journal::replicatedSpendFromReachable,
        )

    private fun callerSettings() =
        HttpServerSettings(
            host = settings.callers.host,
            port = settings.callers.port,
            singleFields = HttpServerSettings.GENERAL_SINGLE_FIELDS + CallerRequestHandler.SINGLE_FIELDS,
        )

    private fun operatorSettings() = HttpServerSettings(host = settings.operators.host, port = settings.operators.port)

    private fun heartbeat() =
        Heartbeat(self, zone, config.current?.generation ?: 0, seatClient.seat?.number, readiness == Readiness.DRAINING)

    private fun routerStatus() =
        RouterStatus(
            self.instance,
            self.number,
            config.current?.generation ?: 0,
            zone,
            readiness == Readiness.DRAINING,
            clock.instant(),
        )

    private fun journalPeers(): List<JournalPeer> =
        membership.members().map { JournalPeer(it.instance, it.zone) } + JournalPeer(self.instance, zone)

    private fun addressOf(endpoint: EndpointId): HostPort? =
        config.current
            ?.services
            ?.firstNotNullOfOrNull { service ->
                membership.endpoints(service.name).firstOrNull { it.instance.value == endpoint.value }
            }?.let { HostPort(it.host, it.port) }

    /** The state as shown at the operators' port. */
    fun view() =
        RouterView(
            instance = self.instance.value,
            incarnation = self.number,
            zone = zone.value,
            readiness = readiness.name.lowercase(),
            generation = config.current?.generation ?: 0,
            seat = seatClient.seat?.number,
            isMoveController = leaseClient.fencingTokenIfHeld(Duration.ZERO) != null,
            members =
                membership.members().map {
                    RouterView.MemberView(
                        it.instance.value,
                        it.incarnation.number,
                        it.zone.value,
                        it.generation,
                        it.isDraining,
                    )
                },
            endpoints =
                limiter.status().map {
                    RouterView.EndpointView(
                        it.endpoint.value,
                        it.isInRotation,
                        it.baseSlots,
                        it.borrowedSlots,
                        it.lentSlots,
                        it.inFlight,
                    )
                },
            budgets =
                budget.accounts().map {
                    RouterView.BudgetView(it.workspace.value, it.grantedTokens, it.spentTokens, it.reservedTokens)
                },
            moves =
                versionSelector.moves().map {
                    RouterView.MoveView(
                        it.route.value,
                        it.id.value,
                        it.phase.toString(),
                    )
                },
            bufferedBytes = buffers.usedBytes,
        )

    private fun gauges() =
        RouterGauges(
            bufferedBytes = { buffers.usedBytes },
            bufferedBytesPeak = { buffers.peakBytes },
            generation = { config.current?.generation ?: 0 },
            members = { membership.members().size },
            isMoveController = { leaseClient.fencingTokenIfHeld(Duration.ZERO) != null },
            heldBodyBytes = { bodyBuffer.heldBytes },
            journalEntries = { journal.entryCount },
            grantedTokens = { budget.accounts().sumOf { it.grantedTokens } },
            spentTokens = { budget.accounts().sumOf { it.spentTokens } },
        )

    private fun budgetPolicy(workspace: WorkspaceId): BudgetPolicy {
        val isAvailability =
            config.current?.workspaces?.any { it.workspace == workspace && it.budget == TradeoffPreset.AVAILABILITY }
                ?: false
        return if (isAvailability) BudgetPolicy.availability else BudgetPolicy.exposure
    }

    /**
     * Looks up the spend of an earlier incarnation in the copies of the other routers. Returns null when there are no
     * other routers or one of them is unreachable, because it may hold a higher copy than the others.
     */
    private suspend fun predecessorSpend(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? {
        val others = otherRouters.listedOrHeard()
        if (others.isEmpty() || !peers.connectedPeers().containsAll(others)) return null
        return journal.replicatedSpendFromAll(others, holder, workspace).fold({
            it ?: PredecessorSpendLookup.WHOLE_GRANT
        }, { null })
    }

    private fun budgetEvents() = BudgetListener { metrics.count(RouterMetrics.BUDGET_EVENTS, it.name) }

    private inner class MemberEvents : MembershipListener {
        override fun memberJoined(member: Member) = metrics.count(RouterMetrics.MEMBER_EVENTS, "joined")

        override fun memberUnreachable(member: Member) = metrics.count(RouterMetrics.MEMBER_EVENTS, "silent")

        override fun onIncarnationEnded(ended: Incarnation) = limiter.onIncarnationEnded(ended)
    }

    private inner class EraEvents : EraListener {
        override fun onEraChanged(
            previous: Long,
            current: Long,
        ) {
            LOGGER.warn("router: store.restored previousEra={} era={}", previous, current)
            claims.onEraChanged(current)
            budget.onStoreRestored()
        }
    }

    private class ClaimEvents : ClaimListener {
        override fun onBodyNotStored(
            shard: Int,
            error: StoreError,
        ) = LOGGER.warn("router: a claimed response was not kept shard={} cause=\"{}\"", shard, error.message)
    }

    private inner class WithdrawalEvents : RolloutListener {
        override fun onWithdrawn(
            verdict: Verdict,
            isLocal: Boolean,
        ) {
            LOGGER.warn(
                "rollout: version withdrawn route={} version={} metric={} own={}",
                verdict.route,
                verdict.version,
                verdict.metric,
                isLocal,
            )
            metrics.count(RouterMetrics.WITHDRAWALS, if (isLocal) "own" else "peer")
            if (isLocal) scope.launch { versionSelector.sendVerdicts() }
        }
    }

    private fun ListedInstance.toPeerAddress() = PeerAddress(instance, host, port)

    private companion object {
        val LIMITS_INTERVAL: Duration = Duration.ofMillis(250)
        const val CLOSE_ATTEMPTS = 5
        val CLOSE_RETRY_DELAY: Duration = Duration.ofMillis(500)

        /** The longest wait until the requests of closed connections are billed. */
        val CLOSED_CONNECTIONS_WAIT: Duration = Duration.ofSeconds(5)
        val MAINTENANCE_INTERVAL: Duration = Duration.ofSeconds(1)
        val CLAIMS_INTERVAL: Duration = Duration.ofSeconds(10)
        val CONFIG_WATCH_INTERVAL: Duration = Duration.ofSeconds(2)
        val LOGGER = LoggerFactory.getLogger(Router::class.java)
    }
}
