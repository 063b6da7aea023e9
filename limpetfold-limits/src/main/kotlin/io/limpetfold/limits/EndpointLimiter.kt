package io.limpetfold.limits

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.PeerNetwork
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.random.Random
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toJavaDuration
import kotlin.time.toKotlinDuration

/**
 * Gives requests slots at endpoints, so that the requests in flight at an endpoint, over all routers, never exceed its
 * `maxInFlight`. Safe for concurrent use.
 *
 * Each router owns the base share of its seat and lends idle slots to peers; [EndpointLoans] explains why the limit
 * holds when messages are lost. A borrower starts requests on a loan only within [LimitPolicy.loanLifetime] of its
 * lender's last confirmation, so a loan expires when the lender's seat passes to another router. The new holder waits
 * for [LimitPolicy.seatTakeoverDelay] before it uses the seat's share, because until then requests may still run that
 * were started on old loans or by a former holder that lost its connections.
 *
 * The limit holds only if the caller passes a seat that this router really holds, requests end within
 * [LimitPolicy.maxRequestDuration], and all routers use the same `maxInFlight`. While a lower `maxInFlight` is being
 * rolled out, the fleet may exceed it, but no router starts a request above its own share.
 */
class EndpointLimiter(
    private val self: Incarnation,
    private val zone: ZoneId,
    private val network: PeerNetwork,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val random: Random = Random.Default,
    private val probe: EndpointProbe = EndpointProbe.NONE,
    private val policy: LimitPolicy = LimitPolicy(),
    private val listener: LimitListener = LimitListener.NONE,
) {
    private val lock = Any()
    private val states = HashMap<EndpointId, EndpointState>()
    private val loans = LoanExchange(self, states, timeSource, policy, listener)
    private val queues = LinkedHashMap<RouteId, RouteQueue>()
    private val leavingNotices = LeavingNoticeGossip(self, network, timeSource, policy)
    private val isBorrowing = AtomicBoolean()
    private val createdAt: TimeMark = timeSource.markNow()
    private val loanLifetime = policy.loanLifetime.toKotlinDuration()

    private var maxRouters = 0
    private var declaredEndpoints: Map<EndpointId, DeclaredEndpoint> = emptyMap()

    /** When the base share of the seat becomes usable, or null when it is usable now. */
    private var shareUsableAt: TimeMark? = null
    private var firstQueueIndex = 0

    init {
        network.registerHandler(LimitTopics.LOANS) { from, message -> onLoanRequest(from, message) }
        network.registerHandler(LimitTopics.LEAVING) { from, message -> onLeavingNotices(from, message) }
    }

    /**
     * Applies the configuration, the seat and the platform's instance list.
     *
     * When [seat] changes, the share of the earlier seat and all its loans end at once; requests in flight keep their
     * slots. Endpoints that are listed as leaving are removed from rotation. Only a successful probe returns them to
     * rotation, never the list.
     *
     * @param wasSeatDrained true only when no request or loan of an earlier holder can still use the seat's slots: the
     * seat's object was just created, or its holder released it while [isSeatDrained] was true. Otherwise the seat
     * gives no share for [LimitPolicy.seatTakeoverDelay]. Read only when the seat changes.
     */
    fun update(
        routes: Collection<RouteQueueConfig>,
        seat: Int?,
        wasSeatDrained: Boolean,
        maxRouters: Int,
        endpoints: Collection<DeclaredEndpoint>,
    ) {
        val newlyLeaving =
            updateAndDispatch { completed ->
                if (seat != loans.seat) changeSeat(seat, wasSeatDrained)
                this.maxRouters = maxRouters
                declaredEndpoints = endpoints.associateBy { it.endpoint }
                configureQueues(routes, completed)
                val newlyLeaving = configureEndpoints(endpoints)
                refreshBaseSlots()
                newlyLeaving.toList()
            }
        newlyLeaving.forEach(::publishLeaving)
    }

    /**
     * Waits up to [maxWait] for a slot at one of [candidates].
     *
     * Cancellation removes the request from the queue and releases a slot that it was given in the meantime.
     */
    suspend fun acquire(
        route: RouteId,
        workspace: WorkspaceId,
        candidates: List<EndpointCandidate>,
        maxWait: Duration,
    ): Result<EndpointPermit, LimitRefusal> {
        val waiter = Waiter(route, workspace, candidates, timeSource.markNow())
        updateAndDispatch { enqueue(waiter, it) }
        var isFinished = false
        try {
            withTimeoutOrNull(maxWait.toMillis()) { await(waiter) }
            val outcome = finish(waiter)
            isFinished = true
            return outcome.also { notifyListener(it, waiter) }
        } finally {
            if (!isFinished) finish(waiter).fold({ it.release(EndpointOutcome.Ignored) }, { })
        }
    }

    /** Records [signal]; after [EndpointSignal.Leaving] the endpoint gets no new requests once this call returns. */
    fun observe(
        endpoint: EndpointId,
        signal: EndpointSignal,
    ) {
        val isRemoved =
            updateAndDispatch {
                val state = states[endpoint] ?: return@updateAndDispatch false
                when (signal) {
                    is EndpointSignal.Load -> {
                        state.onLoadReported(signal.load, timeSource.markNow())
                        false
                    }
                    is EndpointSignal.Leaving -> removeFromRotation(state)
                }
            }
        if (isRemoved) publishLeaving(endpoint)
    }

    /**
     * Sends pending notices about leaving endpoints to peers. [maintain] does so too; call this soon after [observe].
     */
    suspend fun notifyPeers() = leavingNotices.send()

    /** Sends leaving notices, probes endpoints that may return to rotation, renews loans and returns idle ones. */
    suspend fun maintain() {
        updateAndDispatch { refreshBaseSlots() }
        coroutineScope {
            launch { notifyPeers() }
            launch { probeDue() }
            launch { syncLoans() }
        }
    }

    /** Counts all slots lent to [ended] as returned; call it only when that process is known to have ended. */
    fun onIncarnationEnded(ended: Incarnation) = updateAndDispatch { loans.endBorrower(ended) }

    /** Stops lending, borrowing and giving slots, and returns unused borrowed slots; part of a graceful shutdown. */
    suspend fun close() {
        updateAndDispatch { loans.isClosed = true }
        syncLoans()
    }

    /**
     * Whether the next holder of the seat may use its share at once: the share is usable, no slot is lent or borrowed,
     * and no request is in flight.
     */
    val isSeatDrained: Boolean
        get() =
            synchronized(lock) {
                val isShareUsable = shareUsableAt?.hasPassedNow() ?: true
                isShareUsable &&
                    states.values.all { it.loans.lentSlots == 0 && it.loans.borrowedSlots == 0 && it.inFlight == 0 }
            }

    /** Returns the status of all known endpoints, ordered by id. */
    fun status(): ImmutableList<EndpointStatus> =
        synchronized(lock) {
            states.values
                .sortedBy { it.endpoint.value }
                .map {
                    EndpointStatus(
                        endpoint = it.endpoint,
                        isInRotation = it.rotation.isInRotation,
                        baseSlots = it.baseSlots,
                        lentSlots = it.loans.lentSlots,
                        borrowedSlots = it.loans.borrowedSlots,
                        limit = it.adaptive.within(it.capacity(loanLifetime)),
                        inFlight = it.inFlight,
                    )
                }.toImmutableList()
        }

    // Seat and endpoints

    private fun changeSeat(
        seat: Int?,
        wasSeatDrained: Boolean,
    ) {
        loans.changeSeat(seat)
        shareUsableAt = if (wasSeatDrained) null else timeSource.markNow() + policy.seatTakeoverDelay.toKotlinDuration()
    }

    private fun configureEndpoints(endpoints: Collection<DeclaredEndpoint>): List<EndpointId> {
        for (state in states.values) {
            if (state.endpoint in declaredEndpoints) continue
            if (state.undeclaredSince == null) state.undeclaredSince = timeSource.markNow()
        }
        states.values.removeAll { state ->
            val isExpired = state.undeclaredSince?.let { it.elapsedNow() > UNDECLARED_RETENTION } ?: false
            isExpired && state.inFlight == 0 && state.loans.borrowedSlots == 0 && state.loans.lentSlots == 0
        }
        return endpoints.mapNotNull { declared ->
            val state = states.getOrPut(declared.endpoint) { EndpointState(declared.endpoint) }
            state.undeclaredSince = null
            state.rotation.isListedLeaving = declared.isLeaving
            declared.endpoint.takeIf { declared.isLeaving && removeFromRotation(state) }
        }
    }

    private fun refreshBaseSlots() {
        if (shareUsableAt?.hasPassedNow() == true) shareUsableAt = null
        val usableSeat = loans.seat.takeIf { shareUsableAt == null }
        for (state in states.values) {
            state.refreshBaseSlots(declaredEndpoints[state.endpoint]?.maxInFlight ?: 0, usableSeat, maxRouters)
        }
    }

    private fun configureQueues(
        routes: Collection<RouteQueueConfig>,
        completed: MutableList<Waiter>,
    ) {
        val byRoute = routes.associateBy { it.route }
        for (removed in queues.keys - byRoute.keys) {
            val queue = queues.remove(removed) ?: continue
            queue.waiters.entries().forEach { refuse(it, unknownRoute(removed), completed) }
        }
        for ((route, config) in byRoute) queues.getOrPut(route) { RouteQueue(config) }.config = config
    }

    private fun removeFromRotation(state: EndpointState): Boolean =
        state.rotation.remove(timeSource.markNow(), policy.firstProbeDelay.toKotlinDuration())

    private fun publishLeaving(endpoint: EndpointId) {
        listener.onRemovedFromRotation(endpoint, null)
        leavingNotices.publish(endpoint)
    }

    private fun onLeavingNotices(
        from: Incarnation,
        message: LeavingNotices,
    ): LeavingAcknowledged {
        val newNotices = leavingNotices.receive(from, message.notices)
        val removed =
            updateAndDispatch {
                newNotices.filter { notice ->
                    states[notice.endpoint]?.let(::removeFromRotation)
                        ?: false
                }
            }
        removed.forEach { listener.onRemovedFromRotation(it.endpoint, from.instance) }
        return LeavingAcknowledged(message.notices.size)
    }

    private suspend fun probeDue() =
        coroutineScope {
            val due =
                synchronized(lock) {
                    states.values.filter { it.undeclaredSince == null && it.rotation.isProbeDue() }
                }
            for (state in due) {
                launch {
                    val isReady = withTimeoutOrNull(PROBE_TIMEOUT_MILLIS) { probe.probe(state.endpoint) } ?: false
                    val isReturned =
                        updateAndDispatch {
                            val maxDelay = policy.maxProbeDelay.toKotlinDuration()
                            state.rotation.onProbed(isReady, timeSource.markNow(), maxDelay)
                        }
                    if (isReturned) listener.onReturnedToRotation(state.endpoint)
                }
            }
        }

    // Queues and permits

    /**
     * Runs [change] under the lock and gives free slots to waiters, then resumes outside the lock the waiters that got
     * an outcome. [change] adds the waiters that it refuses to the list that it is passed.
     */
    private inline fun <T> updateAndDispatch(change: (MutableList<Waiter>) -> T): T {
        val completed = mutableListOf<Waiter>()
        val value =
            synchronized(lock) {
                change(completed).also { dispatch(completed) }
            }
        completed.forEach { it.completion.complete(Unit) }
        return value
    }

    private fun enqueue(
        waiter: Waiter,
        completed: MutableList<Waiter>,
    ) {
        val queue = queues[waiter.route] ?: return refuse(waiter, unknownRoute(waiter.route), completed)
        queue.waiters.add(waiter.workspace, waiter)
        dispatch(completed)
        if (waiter.outcome != null || queue.waiters.size <= queue.config.maxQueued) return
        val last = queue.waiters.removeLastOfLongest() ?: return
        refuse(last, LimitRefusal.QueueFull(last.route, policy.retryAfter), completed)
    }

    private fun unknownRoute(route: RouteId) = LimitRefusal.UnknownRoute(route, policy.retryAfter)

    private fun refuse(
        waiter: Waiter,
        refusal: LimitRefusal,
        completed: MutableList<Waiter>,
    ) {
        waiter.outcome = Err(refusal)
        completed += waiter
    }

    /**
     * Gives free slots to waiters. Each call starts with another route, so that routes share their endpoints evenly.
     */
    private fun dispatch(completed: MutableList<Waiter>) {
        if (queues.isEmpty()) return
        val inOrder = queues.values.toList()
        firstQueueIndex = (firstQueueIndex + 1) % inOrder.size
        var isAnyServed = true
        while (isAnyServed) {
            isAnyServed = false
            for (index in inOrder.indices) {
                val queue = inOrder[(firstQueueIndex + index) % inOrder.size]
                isAnyServed = queue.waiters.serveOne { serve(it, completed) } || isAnyServed
            }
        }
    }

    private fun serve(
        waiter: Waiter,
        completed: MutableList<Waiter>,
    ): Boolean {
        val inRotation = waiter.candidates.filter { states[it.endpoint]?.rotation?.isInRotation == true }
        if (inRotation.isEmpty()) {
            refuse(waiter, LimitRefusal.NoEndpoint(waiter.route, policy.retryAfter), completed)
            return true
        }
        val state = choose(inRotation) ?: return false
        state.onRequestStarted(timeSource.markNow())
        waiter.outcome = Ok(EndpointPermit(state.endpoint) { release(state, it) })
        completed += waiter
        return true
    }

    private fun choose(inRotation: List<EndpointCandidate>): EndpointState? {
        if (loans.isClosed) return null
        val usable = inRotation.filter { states.getValue(it.endpoint).canStart(loanLifetime) }
        val preferred = usable.filter { it.zone == zone }.ifEmpty { usable }
        if (preferred.isEmpty()) return null
        val first = random.nextInt(preferred.size)
        val second =
            if (preferred.size == 1) {
                first
            } else {
                (first + 1 + random.nextInt(preferred.size - 1)) % preferred.size
            }
        return listOf(preferred[first], preferred[second])
            .map { states.getValue(it.endpoint) }
            .minBy { it.score(loanLifetime, policy.loadHalfLife.toKotlinDuration()) }
    }

    private fun release(
        state: EndpointState,
        outcome: EndpointOutcome,
    ) = updateAndDispatch {
        val capacity = state.capacity(loanLifetime)
        state.adaptive = state.adaptive.after(outcome, state.inFlight, capacity, nowNanos(), policy.adaptive)
        state.inFlight--
        state.lastUsedAt = timeSource.markNow()
    }

    /** Ends the wait and returns its outcome: [LimitRefusal.NoCapacity] when there is none yet. */
    private fun finish(waiter: Waiter): Result<EndpointPermit, LimitRefusal> =
        synchronized(lock) {
            waiter.outcome ?: run {
                queues[waiter.route]?.waiters?.remove(waiter.workspace, waiter)
                val refusal = LimitRefusal.NoCapacity(waiter.route, policy.retryAfter)
                Err(refusal).also { waiter.outcome = it }
            }
        }

    private fun notifyListener(
        outcome: Result<EndpointPermit, LimitRefusal>,
        waiter: Waiter,
    ) = outcome.fold(
        success = { listener.onAcquired(it.endpoint, waiter.enqueuedAt.elapsedNow().toJavaDuration()) },
        failure = { listener.onRefused(it) },
    )

    private suspend fun await(waiter: Waiter) {
        if (waiter.completion.isCompleted) return
        coroutineScope {
            val borrowing = launch { borrowUntilServed(waiter) }
            waiter.completion.await()
            borrowing.cancel()
        }
    }

    // Loans

    /** Borrows repeatedly until [waiter] has an outcome; only one waiter at a time borrows, and it does so for all. */
    private suspend fun borrowUntilServed(waiter: Waiter) {
        while (!waiter.completion.isCompleted) {
            if (isBorrowing.compareAndSet(false, true)) {
                try {
                    borrow()
                } finally {
                    isBorrowing.set(false)
                }
                delay(policy.borrowInterval.toMillis().coerceAtLeast(1))
            } else {
                delay(policy.peerTimeout.toMillis().coerceAtLeast(1))
            }
        }
    }

    /** Asks peers in random order, one after the other, until no waiter lacks a slot. */
    internal suspend fun borrow() {
        for (peer in network.connectedPeers().shuffled(random)) {
            val wanted = synchronized(lock) { wantedByEndpoint() }
            if (wanted.isEmpty()) return
            exchangeLoans(peer, wanted)
        }
    }

    /**
     * The slots that waiters lack, by endpoint. Endpoints at which only the adaptive limit holds requests back are left
     * out, because borrowed slots would not help there.
     */
    private fun wantedByEndpoint(): Map<EndpointId, Int> {
        if (loans.isClosed) return emptyMap()
        val wanted = HashMap<EndpointId, Int>()
        for (queue in queues.values) {
            for (waiter in queue.waiters.entries()) {
                for (candidate in waiter.candidates) wanted.merge(candidate.endpoint, 1, Int::plus)
            }
        }
        wanted.keys.retainAll { endpoint ->
            val state = states[endpoint]
            state != null && state.rotation.isInRotation && state.inFlight >= state.capacity(loanLifetime)
        }
        return wanted.mapValues { it.value.coerceAtMost(policy.maxBorrow) }
    }

    private suspend fun exchangeLoans(
        peer: InstanceId,
        wanted: Map<EndpointId, Int>,
    ) {
        val requestedAt = timeSource.markNow()
        val request = synchronized(lock) { loans.request(peer, wanted) } ?: return
        network.ask(peer, LimitTopics.LOANS, request, policy.peerTimeout).fold(
            success = { reply -> updateAndDispatch { loans.onReply(reply, requestedAt) } },
            failure = { },
        )
    }

    /** Replies to a borrower, and notifies the lenders to which slots were returned on its behalf. */
    private suspend fun onLoanRequest(
        from: Incarnation,
        message: LoanRequest,
    ): LoanReply {
        val toNotify = mutableSetOf<InstanceId>()
        val reply = updateAndDispatch { loans.respond(from, message, toNotify) }
        for (lender in toNotify - from.instance) exchangeLoans(lender, emptyMap())
        return reply
    }

    private suspend fun syncLoans() =
        coroutineScope {
            val lenders = synchronized(lock) { loans.returnIdle() }
            for (lender in lenders) launch { exchangeLoans(lender, emptyMap()) }
        }

    private fun nowNanos(): Long = createdAt.elapsedNow().inWholeNanoseconds

    private companion object {
        /**
         * How long the state of an undeclared endpoint is kept. Within the lag of the list a leaving endpoint may
         * vanish from it and reappear, and must stay out of rotation throughout.
         */
        val UNDECLARED_RETENTION = Duration.ofMinutes(10).toKotlinDuration()

        const val PROBE_TIMEOUT_MILLIS = 2_000L
    }
}
