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
 * Gives requests slots of endpoints, so that over the whole fleet no endpoint holds more than its `maxInFlight`; safe for
 * concurrent use.
 *
 * Each router uses the base share of its seat. Idle slots are lent to peers; see [EndpointLoans] for why the sum holds
 * when messages are lost. A borrower starts requests on a loan only while its lender confirmed it within
 * [LimitPolicy.loanLife], so that a loan ends by itself when the lender's seat passes to another router. That router
 * waits [LimitPolicy.seatSettleTime] before it uses the seat's share, because requests on old loans, and those of a
 * former holder that was cut off, may run until then.
 *
 * The bound rests on three duties of the caller: the seat it passes is really held, requests end within
 * [LimitPolicy.maxRequestDuration], and all routers use the same capacity. While a lower capacity reaches the routers
 * the sum may exceed it, but no router starts a request above its own share.
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
    private val notices = LeavingNoticeBoard(self, network, timeSource, policy)
    private val isBorrowing = AtomicBoolean()
    private val start: TimeMark = timeSource.markNow()
    private val loanLife = policy.loanLife.toKotlinDuration()

    private var maxRouters = 0
    private var capacities: Map<EndpointId, DeclaredEndpoint> = emptyMap()

    /** When the seat's share becomes usable, or null when it is. */
    private var settlesAt: TimeMark? = null
    private var firstQueue = 0

    init {
        network.registerHandler(LimitTopics.LOANS) { from, message -> onLoanRequest(from, message) }
        network.registerHandler(LimitTopics.LEAVING) { from, message -> onLeavingNotices(from, message) }
    }

    /**
     * Takes over the configuration, the seat and the platform's list.
     *
     * With another [seat], or null, the share and all loans of the earlier one end at once. Requests in flight keep their
     * slots. Endpoints that are listed as leaving are taken out; the list never brings one back.
     *
     * @param wasSeatDrained true only when no earlier holder can have lent or used the seat's slots: the seat's object was
     * just created, or its holder released it with [isSeatDrained]. Otherwise the seat gives no share for
     * [LimitPolicy.seatSettleTime]. It is read only when the seat changes.
     */
    fun update(
        routes: Collection<RouteQueueConfig>,
        seat: Int?,
        wasSeatDrained: Boolean,
        maxRouters: Int,
        endpoints: Collection<DeclaredEndpoint>,
    ) {
        val left =
            decide { decided ->
                if (seat != loans.seat) startTenure(seat, wasSeatDrained)
                this.maxRouters = maxRouters
                capacities = endpoints.associateBy { it.endpoint }
                configureQueues(routes, decided)
                val left = configureEndpoints(endpoints)
                refreshBases()
                left.toList()
            }
        left.forEach(::announce)
    }

    /**
     * Waits up to [maxWait] for a slot at one of [candidates].
     *
     * Cancellation gives up the place in the queue and any slot given meanwhile.
     */
    suspend fun acquire(
        route: RouteId,
        workspace: WorkspaceId,
        candidates: List<EndpointCandidate>,
        maxWait: Duration,
    ): Result<EndpointPermit, LimitRefusal> {
        val waiter = Waiter(route, workspace, candidates, timeSource.markNow())
        decide { enqueue(waiter, it) }
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

    /** Takes note of [signal]; an endpoint that leaves gets no new request from the moment of this call. */
    fun observe(
        endpoint: EndpointId,
        signal: EndpointSignal,
    ) {
        val isTakenOut =
            decide {
                val state = states[endpoint] ?: return@decide false
                when (signal) {
                    is EndpointSignal.Load -> {
                        state.report(signal.load, timeSource.markNow())
                        false
                    }
                    is EndpointSignal.Leaving -> takeOut(state)
                }
            }
        if (isTakenOut) announce(endpoint)
    }

    /** Tells peers about endpoints that were seen leaving; call it soon after [observe]. [maintain] does it too. */
    suspend fun notifyPeers() = notices.send()

    /** Tells peers about leaving endpoints, probes those that may return, and renews and returns loans. */
    suspend fun maintain() {
        decide { refreshBases() }
        coroutineScope {
            launch { notifyPeers() }
            launch { probeDue() }
            launch { syncLoans() }
        }
    }

    /** Counts all slots lent to [ended] as returned; call it only when its process is known to have ended. */
    fun incarnationEnded(ended: Incarnation) = decide { loans.endBorrower(ended) }

    /** Stops lending, borrowing and giving slots, and returns what was borrowed; part of a planned stop. */
    suspend fun close() {
        decide { loans.isClosed = true }
        syncLoans()
    }

    /**
     * Whether the seat's next holder may take it as new: the share is settled, no slot is lent or borrowed, and no
     * request is in flight.
     */
    val isSeatDrained: Boolean
        get() =
            synchronized(lock) {
                val isSettled = settlesAt?.hasPassedNow() ?: true
                isSettled && states.values.all { it.loans.lentOut == 0 && it.loans.held == 0 && it.inFlight == 0 }
            }

    /** Returns the endpoints, ordered by identity. */
    fun status(): ImmutableList<EndpointStatus> =
        synchronized(lock) {
            states.values
                .sortedBy { it.endpoint.value }
                .map {
                    EndpointStatus(
                        endpoint = it.endpoint,
                        isInRotation = it.rotation.isIn,
                        baseSlots = it.base,
                        lentSlots = it.loans.lentOut,
                        borrowedSlots = it.loans.held,
                        limit = it.adaptive.within(it.capacity(loanLife)),
                        inFlight = it.inFlight,
                    )
                }.toImmutableList()
        }

    // Seat and endpoints

    private fun startTenure(
        seat: Int?,
        wasSeatDrained: Boolean,
    ) {
        loans.startTenure(seat)
        settlesAt = if (wasSeatDrained) null else timeSource.markNow() + policy.seatSettleTime.toKotlinDuration()
    }

    private fun configureEndpoints(endpoints: Collection<DeclaredEndpoint>): List<EndpointId> {
        for (state in states.values) {
            if (state.endpoint in capacities) continue
            if (state.undeclaredSince == null) state.undeclaredSince = timeSource.markNow()
        }
        states.values.removeAll { state ->
            val isOld = state.undeclaredSince?.let { it.elapsedNow() > FORGET_AFTER } ?: false
            isOld && state.inFlight == 0 && state.loans.held == 0 && state.loans.lentOut == 0
        }
        return endpoints.mapNotNull { declared ->
            val state = states.getOrPut(declared.endpoint) { EndpointState(declared.endpoint) }
            state.undeclaredSince = null
            state.rotation.isListedLeaving = declared.isLeaving
            declared.endpoint.takeIf { declared.isLeaving && takeOut(state) }
        }
    }

    private fun refreshBases() {
        if (settlesAt?.hasPassedNow() == true) settlesAt = null
        val usableSeat = loans.seat.takeIf { settlesAt == null }
        for (state in states.values) {
            state.refreshBase(capacities[state.endpoint]?.maxInFlight ?: 0, usableSeat, maxRouters)
        }
    }

    private fun configureQueues(
        routes: Collection<RouteQueueConfig>,
        decided: MutableList<Waiter>,
    ) {
        val byRoute = routes.associateBy { it.route }
        for (removed in queues.keys - byRoute.keys) {
            val queue = queues.remove(removed) ?: continue
            queue.waiters.entries().forEach { refuse(it, unknownRoute(removed), decided) }
        }
        for ((route, limit) in byRoute) queues.getOrPut(route) { RouteQueue(limit) }.limit = limit
    }

    private fun takeOut(state: EndpointState): Boolean =
        state.rotation.takeOut(timeSource.markNow(), policy.probePause.toKotlinDuration())

    private fun announce(endpoint: EndpointId) {
        listener.onTakenOut(endpoint, null)
        notices.post(endpoint)
    }

    private fun onLeavingNotices(
        from: Incarnation,
        message: LeavingNotices,
    ): LeavingAcknowledged {
        val fresh = notices.receive(from, message.notices)
        val takenOut =
            decide { fresh.filter { notice -> states[notice.endpoint]?.let(::takeOut) ?: false } }
        takenOut.forEach { listener.onTakenOut(it.endpoint, from.instance) }
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
                    val isBack =
                        decide {
                            val maxPause = policy.maxProbePause.toKotlinDuration()
                            state.rotation.onProbed(isReady, timeSource.markNow(), maxPause)
                        }
                    if (isBack) listener.onReturned(state.endpoint)
                }
            }
        }

    // Queues and permits

    /** Runs [change] under the lock, gives free slots to waiters, and then wakes those whose wait is decided. */
    private inline fun <T> decide(change: (MutableList<Waiter>) -> T): T {
        val decided = mutableListOf<Waiter>()
        val value =
            synchronized(lock) {
                change(decided).also { dispatch(decided) }
            }
        decided.forEach { it.decided.complete(Unit) }
        return value
    }

    private fun enqueue(
        waiter: Waiter,
        decided: MutableList<Waiter>,
    ) {
        val queue = queues[waiter.route] ?: return refuse(waiter, unknownRoute(waiter.route), decided)
        queue.waiters.add(waiter.workspace, waiter)
        dispatch(decided)
        if (waiter.outcome != null || queue.waiters.size <= queue.limit.maxQueued) return
        val last = queue.waiters.removeLastOfLongest() ?: return
        refuse(last, LimitRefusal.QueueFull(last.route, policy.retryAfter), decided)
    }

    private fun unknownRoute(route: RouteId) = LimitRefusal.UnknownRoute(route, policy.retryAfter)

    private fun refuse(
        waiter: Waiter,
        refusal: LimitRefusal,
        decided: MutableList<Waiter>,
    ) {
        waiter.outcome = Err(refusal)
        decided += waiter
    }

    /** Routes take turns to be first, so that routes that share endpoints are served alike. */
    private fun dispatch(decided: MutableList<Waiter>) {
        if (queues.isEmpty()) return
        val inOrder = queues.values.toList()
        firstQueue = (firstQueue + 1) % inOrder.size
        var isAnyServed = true
        while (isAnyServed) {
            isAnyServed = false
            for (index in inOrder.indices) {
                val queue = inOrder[(firstQueue + index) % inOrder.size]
                isAnyServed = queue.waiters.serveOne { serve(it, decided) } || isAnyServed
            }
        }
    }

    private fun serve(
        waiter: Waiter,
        decided: MutableList<Waiter>,
    ): Boolean {
        val inRotation = waiter.candidates.filter { states[it.endpoint]?.rotation?.isIn == true }
        if (inRotation.isEmpty()) {
            refuse(waiter, LimitRefusal.NoEndpoint(waiter.route, policy.retryAfter), decided)
            return true
        }
        val state = choose(inRotation) ?: return false
        state.start(timeSource.markNow())
        waiter.outcome = Ok(EndpointPermit(state.endpoint) { release(state, it) })
        decided += waiter
        return true
    }

    private fun choose(inRotation: List<EndpointCandidate>): EndpointState? {
        if (loans.isClosed) return null
        val usable = inRotation.filter { states.getValue(it.endpoint).canStart(loanLife) }
        val near = usable.filter { it.zone == zone }.ifEmpty { usable }
        if (near.isEmpty()) return null
        val first = random.nextInt(near.size)
        val second = if (near.size == 1) first else (first + 1 + random.nextInt(near.size - 1)) % near.size
        return listOf(near[first], near[second])
            .map { states.getValue(it.endpoint) }
            .minBy { it.score(loanLife, policy.loadHalfLife.toKotlinDuration()) }
    }

    private fun release(
        state: EndpointState,
        outcome: EndpointOutcome,
    ) = decide {
        val capacity = state.capacity(loanLife)
        state.adaptive = state.adaptive.after(outcome, state.inFlight, capacity, nowNanos(), policy.adaptive)
        state.inFlight--
        state.lastUsed = timeSource.markNow()
    }

    /** Ends the wait, whatever it led to. */
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
        success = { listener.onAcquired(it.endpoint, waiter.since.elapsedNow().toJavaDuration()) },
        failure = { listener.onRefused(it) },
    )

    private suspend fun await(waiter: Waiter) {
        if (waiter.decided.isCompleted) return
        coroutineScope {
            val borrowing = launch { borrowUntilServed(waiter) }
            waiter.decided.await()
            borrowing.cancel()
        }
    }

    // Loans

    /** One waiter at a time borrows for all. */
    private suspend fun borrowUntilServed(waiter: Waiter) {
        while (!waiter.decided.isCompleted) {
            if (isBorrowing.compareAndSet(false, true)) {
                try {
                    borrow()
                } finally {
                    isBorrowing.set(false)
                }
                delay(policy.borrowPause.toMillis().coerceAtLeast(1))
            } else {
                delay(policy.peerTimeout.toMillis().coerceAtLeast(1))
            }
        }
    }

    /** Asks peers one after the other until no waiter lacks a slot. */
    internal suspend fun borrow() {
        for (peer in network.connectedPeers().shuffled(random)) {
            val wanted = synchronized(lock) { wantedByEndpoint() }
            if (wanted.isEmpty()) return
            exchange(peer, wanted)
        }
    }

    /** The endpoints for which waiters lack slots; those held down by their adaptive limit alone are left out. */
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
            state != null && state.rotation.isIn && state.inFlight >= state.capacity(loanLife)
        }
        return wanted.mapValues { it.value.coerceAtMost(policy.maxBorrow) }
    }

    private suspend fun exchange(
        peer: InstanceId,
        wanted: Map<EndpointId, Int>,
    ) {
        val asked = timeSource.markNow()
        val request = synchronized(lock) { loans.request(peer, wanted) } ?: return
        network.ask(peer, LimitTopics.LOANS, request, policy.peerTimeout).fold(
            success = { reply -> decide { loans.onReply(reply, asked) } },
            failure = { },
        )
    }

    /** Answers a borrower, and tells the lenders of slots that are given back for it. */
    private suspend fun onLoanRequest(
        from: Incarnation,
        message: LoanRequest,
    ): LoanReply {
        val toNotify = mutableSetOf<InstanceId>()
        val reply = decide { loans.answer(from, message, toNotify) }
        for (lender in toNotify - from.instance) exchange(lender, emptyMap())
        return reply
    }

    private suspend fun syncLoans() =
        coroutineScope {
            val lenders = synchronized(lock) { loans.returnIdle() }
            for (lender in lenders) launch { exchange(lender, emptyMap()) }
        }

    private fun nowNanos(): Long = start.elapsedNow().inWholeNanoseconds

    private companion object {
        /** A listed endpoint may disappear and come back within the lag of the list, and must stay out meanwhile. */
        val FORGET_AFTER = Duration.ofMinutes(10).toKotlinDuration()

        const val PROBE_TIMEOUT_MILLIS = 2_000L
    }
}
