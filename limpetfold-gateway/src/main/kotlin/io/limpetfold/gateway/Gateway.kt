package io.limpetfold.gateway

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getError
import io.limpetfold.budget.BudgetAgent
import io.limpetfold.budget.PredecessorSpendLookup
import io.limpetfold.budget.WitnessCandidates
import io.limpetfold.budget.loan.TokenBorrower
import io.limpetfold.budget.loan.TokenLender
import io.limpetfold.core.Incarnation
import io.limpetfold.core.VersionId
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.dispatch.CallShare
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.gateway.call.BodyBudget
import io.limpetfold.gateway.call.BodyReader
import io.limpetfold.gateway.call.CallAdmission
import io.limpetfold.gateway.call.CallDispatcher
import io.limpetfold.gateway.call.CallHandler
import io.limpetfold.gateway.call.EndpointNotices
import io.limpetfold.gateway.call.EndpointSender
import io.limpetfold.gateway.call.RefusalWriter
import io.limpetfold.gateway.call.TokenBudget
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.codec.EndpointDecoder
import io.limpetfold.gateway.codec.MoveOrderCodec
import io.limpetfold.gateway.observe.BudgetObserver
import io.limpetfold.gateway.observe.CallObserver
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.gateway.observe.EndpointConnectionObserver
import io.limpetfold.gateway.observe.EndpointNoticeObserver
import io.limpetfold.gateway.observe.GatewayGauges
import io.limpetfold.gateway.observe.GatewayMetrics
import io.limpetfold.gateway.observe.QuarantineObserver
import io.limpetfold.gateway.operate.BudgetAccountWarmer
import io.limpetfold.gateway.operate.FleetPolicies
import io.limpetfold.gateway.operate.FleetRegistration
import io.limpetfold.gateway.operate.GracefulShutdown
import io.limpetfold.gateway.operate.PeriodicWork
import io.limpetfold.gateway.operate.PrepaidTotals
import io.limpetfold.gateway.operate.Readiness
import io.limpetfold.gateway.operate.ReadinessAndMetricsHandler
import io.limpetfold.gateway.operate.ReloadableSettings
import io.limpetfold.gateway.operate.StoreInstanceDirectory
import io.limpetfold.gateway.operate.ZoneLenderSelector
import io.limpetfold.gateway.operate.ZoneRelaySelector
import io.limpetfold.gateway.state.CallLimitSync
import io.limpetfold.gateway.state.CallerLimitsReplica
import io.limpetfold.gateway.state.EndpointDirectoryUpdater
import io.limpetfold.gateway.state.ObjectFeed
import io.limpetfold.gateway.state.PeerSync
import io.limpetfold.gateway.state.QuarantineRecord
import io.limpetfold.gateway.state.QuarantineSync
import io.limpetfold.gateway.state.RoutingTableReplica
import io.limpetfold.gateway.state.TimedMoveCoordinator
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.ConnectionLimitsSource
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
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.replication.RelayedObjectStore
import io.limpetfold.rollout.timed.ServiceVersion
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.RoutingTableDecoder
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectStore
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.time.InstantSource
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * A router that forwards requests unchanged and keeps all durable state in the platform's store.
 *
 * All decisions run on one event loop thread.
 *
 * @param readSettings reads the current settings; called periodically and by [reload].
 * @param createStore creates the client of the platform's store, which runs on the gateway's event loop.
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
    private val buffers = BufferBudget(MAX_BUFFERED_BYTES)
    private val scope = CoroutineScope(SupervisorJob() + loops.dispatcher)
    private val metrics = GatewayMetrics()
    private val store = EraCheckedStore(createStore(loops, buffers), ::onEraChanged)
    private val client =
        UpstreamClient(
            upstreamSettings(),
            loops,
            buffers,
            EndpointConnectionObserver(log, metrics),
            loops.dispatcher,
        )
    private val peers = KtorPeerNetwork(self, FleetKey(settings.fleetSecret), FleetPolicies.PEERS, random)
    private val quarantine = PromptPartQuarantine(listener = QuarantineObserver(log))
    private val quarantineRecord: QuarantineRecord =
        QuarantineRecord(quarantine, store, monotonic, random, log) { membership.routerCount }
    private val instances =
        StoreInstanceDirectory(store, log, setOf(QuarantineRecord.KEY)) {
            it.fold(quarantineRecord::onListed) { quarantineRecord.onListFailed() }
        }
    private val callerLimits = CallerLimitsReplica(settings.callerLimits, log)
    private val routing: RoutingTableReplica =
        RoutingTableReplica(
            settings.configKey,
            routingDecoder,
            log,
            { budget.resetPlatformBackoff() },
            ::onRoutingChanged,
        )
    private val directory = EndpointDirectory()
    private val directoryUpdater = EndpointDirectoryUpdater(directory, endpointDecoder, monotonic, log)
    private val membership: Membership =
        Membership(self.instance, instances, peers, TimeSource.Monotonic, FleetPolicies.MEMBERSHIP, memberEvents()) {
            heartbeat()
        }
    private val lenderSelector = ZoneLenderSelector(self.instance, settings.zone, membership)
    private val policies: FleetPolicies =
        FleetPolicies(
            settings.budget,
            settings.contactTime,
            membership,
            lenderSelector,
        ) { registration.isRouterCountKnown }
    private val watchedStore =
        RelayedObjectStore(
            store,
            peers,
            ZoneRelaySelector(self.instance, settings.zone, membership, peers),
            loops.dispatcher,
            listener = { prefix, relay -> log.info("watch.source", "prefix" to prefix, "relay" to (relay ?: "store")) },
        )
    private val registration: FleetRegistration =
        FleetRegistration(settings, instances, membership, peers, random, log)
    private val sync =
        PeerSync(peers, routing, directory, directoryUpdater, monotonic, loops.dispatcher, random, store::onVersionTold)
    private val prepaidTotals = PrepaidTotals(log) { routing.current }
    private val budgetObserver = BudgetObserver(log, metrics)
    private val budget: BudgetAgent =
        BudgetAgent(
            self,
            store,
            peers,
            { policies.budget() },
            random = random,
            listener = budgetObserver,
            maxWorkspacesPerRound = MAX_WORKSPACES_PER_ROUND,
            predecessorSpendLookup = { _, _ -> PredecessorSpendLookup.WHOLE_GRANT },
            paidTotalOf = prepaidTotals::of,
            confirmationsPerRound = { maxOf(1, CONFIRMATIONS_PER_ROUND / maxOf(1, lenderSelector.holderCount)) },
            witnessCandidates = WitnessCandidates { membership.runningRouters(settings.zone) },
        )
    private val lender = TokenLender(budget, budgetObserver)
    private val tokens = TokenBorrower(self, budget, peers, lenderSelector, listener = budgetObserver)
    private val versionSelector = TimedVersionSelector(self, monotonic::now, random)
    private val moveCoordinator =
        TimedMoveCoordinator(versionSelector, moveCodec, store, peers, loops.dispatcher, log, ::presentVersions)
    private val reloadableSettings = ReloadableSettings(settings, readSettings, log)
    private val shutdown = GracefulShutdown({ reloadableSettings.current.shutdown }, monotonic)
    private val quarantineSync = QuarantineSync(quarantine, quarantineRecord, peers, monotonic, loops.dispatcher)
    private val bodyBudget = BodyBudget(settings.calls.maxBodiesBytes)
    private val callShare = CallShare.among(self.instance.value, ::listedRouters)
    private val picker = EndpointPicker(directory, settings.zone, settings.picker, random, callShare)
    private val noticeObserver = EndpointNoticeObserver(log, metrics)
    private val callLimitSync = CallLimitSync(picker, noticeObserver, peers, monotonic, loops.dispatcher)
    private val callerServer = server(settings.callerListenAddress, callHandler(), callerLimits)
    private val readinessAndMetricsHandler = ReadinessAndMetricsHandler({ readiness }, metrics)
    private val readinessServer = server(settings.readinessListenAddress, readinessAndMetricsHandler)
    private val metricsServer = server(settings.metricsListenAddress, readinessAndMetricsHandler)
    private val work = PeriodicWork(scope, random, log)

    private val startEnded = Job()
    private val hasStopBegun = AtomicBoolean()
    private val stopEnded = Job()

    @Volatile
    private var hasNewMembers = false

    @Volatile
    private var readiness = Readiness.STARTING

    /**
     * Starts the servers, the feeds and the background work; throws [java.io.IOException] when an address is in use.
     */
    suspend fun start() =
        try {
            startServing()
        } finally {
            startEnded.complete()
        }

    private suspend fun startServing() {
        sync.register()
        moveCoordinator.register()
        lender.register(peers)
        tokens.register()
        quarantineSync.register()
        callLimitSync.register()
        watchedStore.register()
        gauges().registerIn(metrics)
        readinessServer.start()
        callerServer.start()
        startFeeds()
        log.info("router.started", "instance" to self.instance, "incarnation" to self.number, "zone" to settings.zone)
        peers.start(settings.peerListenAddress.host, settings.peerListenAddress.port)
        registration.setSeedRouters()
        registration.connect()
        startWork()
        metricsServer.start()
    }

    /** Reads the settings again without waiting for the next periodic read, for example on a signal. */
    fun reload() {
        scope.launch { reloadableSettings.reload() }
    }

    /**
     * Shuts down gracefully: reports not ready, waits for running calls, returns loans and grants, and closes the
     * listeners last. While [start] is running, this waits for it, so that all that it opens is closed. Further calls
     * wait for the end of the first.
     */
    suspend fun stop() {
        if (hasStopBegun.getAndSet(true)) return stopEnded.join()
        try {
            log.info("router.stopping", "running" to callerServer.runningCount)
            val isIdle = drain()
            returnTokens()
            callerServer.awaitIdle(FINAL_RESPONSE_TIMEOUT)
            close()
            log.info("router.stopped", "idle" to isIdle)
        } finally {
            stopEnded.complete()
        }
    }

    /** Waits for running calls and refuses further ones; returns whether all ended in time. */
    private suspend fun drain(): Boolean {
        shutdown.start()
        readiness = Readiness.STOPPING
        callerServer.beginDrain()
        delay(
            reloadableSettings.current.shutdown.balancerWait
                .toMillis(),
        )
        startEnded.join()
        callerServer.closeIdle()
        val isIdle = callerServer.awaitIdle(shutdown.timeLeft)
        shutdown.stopAccepting()
        // Waits for a call that was accepted just before; from here on calls are only refused, which takes little time.
        callerServer.awaitIdle(shutdown.timeLeft)
        shutdown.endDrain()
        callerServer.awaitIdle(FINAL_RESPONSE_TIMEOUT)
        return isIdle
    }

    private suspend fun returnTokens() {
        withTimeoutOrNull(LOAN_RETURN_TIMEOUT.toMillis()) { tokens.close() }
        budget.close().getError()?.let { log.warn("budget.not_returned", "reason" to it.message) }
    }

    private suspend fun close() {
        callerServer.close()
        readinessServer.close()
        metricsServer.close()
        scope.cancel()
        peers.close()
        client.close()
        loops.close()
    }

    private fun gauges() =
        GatewayGauges(
            runningCalls = { callerServer.runningCount },
            configVersion = { routing.current?.version ?: 0 },
            storeEra = { store.era },
            heardRouters = { membership.members().size },
            heldTokens = { budget.accounts().sumOf { it.availableTokens } },
            quarantinedPromptParts = { quarantine.quarantinedParts(monotonic.now()).size },
            isQuarantineUnsaved = { quarantineRecord.isBehind },
            requestBodyBytes = { bodyBudget.usedBytes },
            bufferedBytes = { buffers.usedBytes },
        )

    private fun startFeeds() {
        val configPrefix = settings.configKey.path.substringBeforeLast('/') + "/"
        scope.launch { ObjectFeed(watchedStore, configPrefix, routing, policies::changeFeed, random).run() }
        scope.launch {
            ObjectFeed(watchedStore, settings.endpointPrefix, directoryUpdater, policies::changeFeed, random).run()
        }
        scope.launch {
            ObjectFeed(watchedStore, settings.movePrefix, moveCoordinator, policies::changeFeed, random).run()
        }
        scope.launch {
            while (readiness == Readiness.STARTING && !hasStartState()) {
                delay(READINESS_CHECK_INTERVAL.toMillis())
            }
            if (readiness == Readiness.STARTING) readiness = Readiness.READY
            log.info("router.ready", "config" to routing.current?.version, "endpoints" to directory.position)
        }
    }

    /** Whether everything is read that calls are decided by; the quarantine may be missing if the store is away. */
    private fun hasStartState() = routing.current != null && directory.isInitialized && quarantineRecord.isStartReadDone

    private fun startWork() {
        scope.launch { registration.register() }
        work.every(DEFAULT_INTERVAL, "membership") {
            membership.maintain()
            registration.connect()
        }
        work.every(DEFAULT_INTERVAL, "peer sync") { sync.maintain(membership.members()) }
        work.every(SHORT_INTERVAL, "quarantine and moves") {
            quarantineSync.maintain(membership.members())
            moveCoordinator.maintain(membership.members())
        }
        work.every(SHORT_INTERVAL, "limits of endpoints") { callLimitSync.maintain(membership.members()) }
        work.every(SHORT_INTERVAL, "quarantine record") { quarantineRecord.maintain() }
        val accountWarmer =
            BudgetAccountWarmer(
                tokens,
                lenderSelector::hasLender,
                { registration.isRouterCountKnown },
                { routing.current },
                random,
            )
        work.every(SHORT_INTERVAL, "accounts") { accountWarmer.maintain() }
        work.every(DEFAULT_INTERVAL, "budget") { budget.maintain() }
        work.every(LOAN_INTERVAL, "loans") { tokens.maintain() }
        work.every(LOAN_INTERVAL, "lent tokens") { lender.maintain(peers) }
        work.every(LONG_INTERVAL, "budget holders") {
            if (hasNewMembers) budget.requestLedgerSync()
            hasNewMembers = false
        }
        work.every(LONG_INTERVAL, "settings") { reloadableSettings.reload() }
        work.every(ENDPOINT_EVICTION_INTERVAL, "endpoints") { picker.evictRemoved(monotonic.now()) }
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
            // In a large fleet only leaders hold accounts and exchange tokens with other holders.
            override fun memberJoined(member: Member) {
                if (membership.isFullMesh || membership.isLeader(member.instance)) hasNewMembers = true
            }
        }

    private fun onEraChanged(
        previous: Long,
        current: Long,
    ) {
        log.warn("store.restored", "before" to previous, "era" to current)
        quarantineRecord.onEraChanged(current)
        scope.launch { registration.renew() }
        budget.onStoreRestored()
    }

    private fun onRoutingChanged(
        previous: RoutingTable?,
        current: RoutingTable,
    ) {
        callerLimits.apply(current.callerLimits, current.version)
        if (prepaidTotals.logChanges(previous, current)) budget.resetPlatformBackoff()
    }

    private fun listedRouters() = membership.otherListedRouters().map { it.instance.value } + self.instance.value

    private fun presentVersions() =
        directory.all(monotonic.now()).mapTo(HashSet()) { ServiceVersion(it.service, VersionId(it.version)) }

    private fun callHandler(): CallHandler {
        val notices = EndpointNotices(picker, codec, monotonic, noticeObserver)
        val sender = EndpointSender(client, codec, monotonic, settings.calls, notices)
        val dispatcher =
            CallDispatcher(picker, sender, quarantine, codec, monotonic, settings.calls, {
                reloadableSettings.current.retryBudget
            }, versionSelector) { membership.routerCount }
        return CallHandler(
            CallAdmission(codec, { routing.current }, random, shutdown),
            BodyReader(bodyBudget),
            quarantine,
            TokenBudget(tokens),
            dispatcher,
            RefusalWriter(settings.calls, random, codec.notRunHeaders),
            codec,
            monotonic,
            settings.calls,
            CallObserver(log, metrics),
            shutdown,
        )
    }

    private fun server(
        address: HostPort,
        handler: HttpHandler,
        limits: ConnectionLimitsSource = ConnectionLimitsSource { settings.callerLimits },
    ) = HttpServer(
        HttpServerSettings(
            host = address.host,
            port = address.port,
            singleFields = HttpServerSettings.GENERAL_SINGLE_FIELDS + codec.singleRequestFields,
            refusalHeaders = codec.notRunHeaders,
        ),
        loops,
        buffers,
        handler,
        loops.dispatcher,
        limits,
    )

    private fun upstreamSettings() =
        UpstreamSettings(
            connectTimeout = CONNECT_TIMEOUT,
            pooledIdleTimeout = POOLED_IDLE_TIMEOUT,
            requestIdHeader = codec.requestIdHeader,
            acceptsCloseDelimitedResponses = true,
            singleFields = UpstreamSettings.GENERAL_SINGLE_FIELDS + codec.singleResponseFields,
        )

    private companion object {
        const val MAX_BUFFERED_BYTES = 48L * 1024 * 1024
        const val MAX_WORKSPACES_PER_ROUND = 24

        /** Time to write the last answers of calls that are ended or refused. */
        val FINAL_RESPONSE_TIMEOUT: Duration = Duration.ofMillis(100)

        /** Lenders respond within a few milliseconds; tokens that are not returned in time count as spent. */
        val LOAN_RETURN_TIMEOUT: Duration = Duration.ofMillis(200)
        val READINESS_CHECK_INTERVAL: Duration = Duration.ofMillis(10)

        /**
         * The accounts that all routers together confirm in a round after a restore of the store. At two rounds a second
         * these are 80 writes a second, a fifth of the smallest known limit of the platform.
         */
        const val CONFIRMATIONS_PER_ROUND = 40
        val DEFAULT_INTERVAL: Duration = Duration.ofMillis(500)
        val SHORT_INTERVAL: Duration = Duration.ofMillis(250)
        val LOAN_INTERVAL: Duration = Duration.ofSeconds(1)
        val LONG_INTERVAL: Duration = Duration.ofSeconds(4)
        val ENDPOINT_EVICTION_INTERVAL: Duration = Duration.ofSeconds(10)

        /**
         * Connecting across zones takes a few milliseconds; the timeout leaves time to try another endpoint after an
         * address that does not respond.
         */
        val CONNECT_TIMEOUT: Duration = Duration.ofMillis(300)
        val POOLED_IDLE_TIMEOUT: Duration = Duration.ofSeconds(4)
    }
}
