package io.limpetfold.rollout

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.lease.FencingToken
import io.limpetfold.lease.LeaseClient
import io.limpetfold.lease.LeaseListener
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.runBlocking
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import kotlin.random.Random

/**
 * Four routers with a move controller each, under a seeded schedule of faults, with restores of the store if
 * [hasRestores].
 *
 * The first violated invariant is stored in [violation].
 */
internal class MoveFleet(
    private val seed: Long,
    hasRestores: Boolean = false,
) {
    private val random = Random(seed)
    private val clock = TestClock()
    private val store = FakeObjectStore()
    private val restores = if (hasRestores) StoreRestores(Random(seed xor RESTORE_SEED), store) else null
    private val knownOutcomes = KnownOutcomes()
    private val fencingTokens = mutableSetOf<FencingToken>()
    private val hub = FakePeerHub { from, to -> peerFault(from, to) }
    private val log = mutableListOf<String>()
    private val nodes = (0 until NODES).map { Node(it) }
    private val newFailureShare = listOf(0.0, 0.0, 0.0, 0.6, 1.0).random(random)
    private val badNode = if (random.nextInt(3) == 0) random.nextInt(NODES) else null
    private val badAfterSeconds = random.nextLong(0, 90)
    private val faultInterval = listOf(60, 200, 600).random(random)
    private val requestsPerTick = listOf(0.2, 0.6, 1.5).random(random)
    private val history = mutableListOf<Pair<Long, MoveRecord>>()

    /** The move in the store, and since when it has its outcome there. */
    private var current: MoveRecord? = null
    private var currentSince = 0L
    private var lastStart: MoveRequest? = null
    private var repeatStartAt = Long.MAX_VALUE
    private val exposed = mutableMapOf<Pair<MoveId, Long>, Long>()
    private val brokenLinks = mutableMapOf<Set<Int>, Long>()
    private var isPlatformDown = false
    private var isStalled = false
    private var moveCount = 0
    private var requestCount = 0
    var violation: String? = null
        private set
    val outcomes: List<MovePhase> get() =
        history
            .map {
                it.second
            }.filter { it.phase.isFinal }
            .distinctBy { it.id }
            .map { it.phase }

    fun report(): String = "$violation; seed=$seed schedule:\n${log.joinToString("\n")}"

    fun run() {
        startMove("op0")
        repeat(TICKS) { if (violation == null) tick() }
        heal()
        repeat(SETTLE_TICKS) { if (violation == null && !isSettled()) tick(hasFaults = false) }
        checkSettled()
    }

    private val nowMillis get() = clock.millis()

    private fun tick(hasFaults: Boolean = true) {
        clock.advance(Duration.ofMillis(random.nextLong(500, 1_500)))
        restores?.onTick()
        readHistory()
        if (hasFaults) {
            fault()
            if (restores?.isDue() == true) restoreAmongFaults()
        }
        if (repeatStartAt <= nowMillis) repeatStart()
        for (node in nodes.shuffled(random)) {
            if (!node.isRunning) continue
            node.serve()
            runBlocking { node.maintain() }
            readHistory()
            checkHolders()
        }
        nodes.forEach { it.checkPropagation() }
    }

    private fun checkHolders() {
        val holders = nodes.filter { it.lease.fencingTokenIfHeld(Duration.ZERO) != null }
        if (holders.size > 1) fail("the lease has the holders ${holders.map { it.index }}")
    }

    private fun restoreAmongFaults() {
        val node = nodes.random(random)
        val others = nodes.filter { it != node }
        when (random.nextInt(5)) {
            0 -> {
                // Only a router that is cut off knows what was written after the copy.
                isolate(node, random.nextLong(20_000, 120_000))
                others.forEach { it.kill() }
            }
            1 -> others.filter { random.nextBoolean() }.forEach { it.kill() }
            2 -> isolate(node, random.nextLong(5_000, 60_000))
        }
        restoreStore()
    }

    private fun restoreStore() {
        val atMillis = nowMillis
        for (node in nodes.filter { nowMillis >= it.killedUntil }) {
            knownOutcomes.onRestored(node.key, node.selector.moves()) { node.disturbedUntil < atMillis }
        }
        log("restored from copies of ${checkNotNull(restores).restore()} ticks before")
        current =
            runBlocking { store.get(MoveRecord.key(ROUTE)) }
                .get()
                ?.let { TypedObject.JSON.decodeFromString(MoveRecord.serializer(), it.value) }
        currentSince = nowMillis
        log("the store has ${current?.id} ${current?.phase}")
        if (random.nextBoolean()) repeatStartAt = nowMillis + random.nextLong(1_000, 10_000)
    }

    /** The operator starts a move again whose start was lost. */
    private fun repeatStart() {
        repeatStartAt = Long.MAX_VALUE
        val request = lastStart?.takeIf { it.id != current?.id } ?: return
        start(if (random.nextBoolean()) request else request.copy(id = MoveId("m${moveCount++}")))
    }

    private fun fault() {
        val node = nodes.random(random)
        val others = nodes.filter { it != node }
        when (random.nextInt(faultInterval)) {
            0 -> node.kill()
            1 -> node.pause(random.nextLong(1_000, 25_000))
            2 -> others.forEach { cutLink(node, it, random.nextLong(1_000, 60_000)) }
            3 -> cutLink(node, others.random(random), random.nextLong(1_000, 90_000))
            4 -> node.cutPlatform(random.nextLong(1_000, 90_000))
            5 -> {
                log("platform down=${!isPlatformDown}")
                isPlatformDown = !isPlatformDown
            }
            6 -> startMove("op${random.nextInt(3)}")
            7 -> if (random.nextInt(4) == 0) takeBack("op${random.nextInt(3)}")
            9, 10 -> isolate(node, random.nextLong(30_000, 120_000))
            8 -> runBlocking { node.lease.release() }.also { log("r${node.index} stops") }.also { node.kill() }
        }
        if (isPlatformDown && random.nextInt(15) == 0) isPlatformDown = false
    }

    private fun isolate(
        node: Node,
        millis: Long,
    ) {
        nodes.filter { it != node }.forEach { cutLink(node, it, millis) }
        node.cutPlatform(millis)
    }

    private fun startMove(operator: String) {
        val id = MoveId("m${moveCount++}")
        val preset = MovePreset.entries.random(random)
        val deadline = clock.instant() + Duration.ofSeconds(random.nextLong(75, 130))
        start(MoveRequest(id, ROUTE, OLD, NEW, operator, deadline, preset))
    }

    private fun start(request: MoveRequest) {
        val started = runBlocking { commands().start(request) }
        log("start ${request.id} ${request.preset} by ${request.operator}: ${if (started.isOk) "ok" else "refused"}")
        if (started.isOk) lastStart = request
        readHistory()
    }

    private fun commands() = MoveCommands(if (restores == null) store else EraCheckedStore(store), clock)

    private fun takeBack(operator: String) {
        val id = current?.id ?: return
        runBlocking { commands().takeBack(ROUTE, id, operator) }.also { log("take back $id by $operator: ${it.isOk}") }
        readHistory()
    }

    private fun cutLink(
        one: Node,
        other: Node,
        millis: Long,
    ) {
        brokenLinks[setOf(one.index, other.index)] = nowMillis + millis
        one.disturbedUntil = nowMillis + millis
        other.disturbedUntil = nowMillis + millis
        log("cut r${one.index}-r${other.index} ${millis}ms")
    }

    private fun heal() {
        log("heal")
        restores?.isActive = false
        brokenLinks.clear()
        isPlatformDown = false
        nodes.forEach { it.heal() }
    }

    private fun log(text: String) {
        log += "${nowMillis - START}: $text"
    }

    private fun fail(text: String) {
        if (violation == null) violation = "at ${nowMillis - START} $text"
    }

    private fun isLinked(
        one: Int,
        other: Int,
    ): Boolean = (brokenLinks[setOf(one, other)] ?: 0) <= nowMillis

    private fun peerFault(
        from: InstanceId,
        to: InstanceId,
    ): PeerFault {
        val (one, other) = listOf(from, to).map { it.value.drop(1).toInt() }
        if (!isLinked(one, other) || !nodes[other].isRunning) return PeerFault.REQUEST_LOST
        return if (random.nextInt(faultInterval) == 0) PeerFault.REPLY_LOST else PeerFault.NONE
    }

    /** Checks the invariants of each newly stored version of the move. */
    private fun readHistory() {
        val stored = store.history(MoveRecord.key(ROUTE))
        for (value in stored.drop(history.size)) {
            val next = TypedObject.JSON.decodeFromString(MoveRecord.serializer(), value)
            val last = current
            history += nowMillis to next
            current = next
            if (last?.id != next.id || last.phase != next.phase) currentSince = nowMillis
            log("stored ${next.id} ${next.phase} f=${next.fencing} by ${next.changedBy}")
            if (next.grants.values.sum() > next.allottedRequests) fail("grants exceed the allotment")
            if (last != null) checkSuccession(last, next)
        }
    }

    private fun checkSuccession(
        last: MoveRecord,
        next: MoveRecord,
    ) {
        if (last.id != next.id) {
            // After a restore, an outcome may be written again over an earlier move that the copy shows as running.
            val isStart = restores == null || !next.phase.isFinal
            if (isStart && !last.phaseAt(nowMillis).isFinal) fail("${next.id} started while ${last.id} was running")
            return
        }
        // A rollback that the fleet knew is written again over what a restored store has in its place.
        val isRollbackKept = restores != null && next.phase is MovePhase.TakenBack
        if (last.phase.isFinal &&
            last.phase != next.phase &&
            !isRollbackKept
        ) {
            fail("${last.id} left ${last.phase} for ${next.phase}")
        }
        if (next.fencing < last.fencing) fail("fencing token decreased")
        checkCompletion(last, next)
    }

    private fun checkCompletion(
        last: MoveRecord,
        next: MoveRecord,
    ) {
        val limit = next.deadlineMillis - MovePlan.PROPAGATION_BOUND.toMillis()
        // A completion that a restore took back is written again at any time.
        val wasCompleted = history.dropLast(1).any { it.second.id == next.id && it.second.phase is MovePhase.Completed }
        val isCompletion = next.phase is MovePhase.Completed && !last.phase.isFinal && !wasCompleted
        if (isCompletion && nowMillis > limit) fail("${next.id} completed ${nowMillis - limit} ms too late")
    }

    private fun isSettled(): Boolean {
        val record = current ?: return nodes.all { it.selector.moves().isEmpty() }
        return record.phase.isFinal &&
            record.unconfirmed?.size == 0 &&
            nowMillis - maxOf(currentSince, history.last().first) > SETTLED_MILLIS
    }

    private fun checkSettled() {
        if (violation != null) return
        knownOutcomes.violation(current, nodes.mapTo(HashSet()) { it.key })?.let { return fail(it) }
        val last = current ?: return if (!isSettled()) fail("routers know moves that the store lacks") else Unit
        if (!last.phase.isFinal) fail("${last.id} has no outcome")
        if (last.unconfirmed?.isNotEmpty() != false) fail("${last.id} is not confirmed by ${last.unconfirmed}")
    }

    private inner class Node(
        val index: Int,
    ) : InstantSource,
        LeaseListener,
        RolloutListener {
        private val skewMillis = random.nextLong(-200, 201)
        private val faultyStore = store.withFaults { storeFault(it) }
        private var newestTakenBack: MoveRecord? = null

        /** Until when faults keep the router from the others. */
        var disturbedUntil = 0L
        private val open = mutableListOf<Pair<Long, VersionChoice>>()
        private var number = 1L
        private var pausedUntil = 0L
        var killedUntil = 0L
            private set
        private var platformCutUntil = 0L
        private var platformReachableSince = 0L
        private val peerReachableSince = LongArray(NODES)
        lateinit var lease: LeaseClient
        lateinit var selector: VersionSelector
        lateinit var controller: MoveController
        val key get() = Incarnation(InstanceId("r$index"), number).key
        val isRunning get() = nowMillis >= pausedUntil && nowMillis >= killedUntil
        val reachesPlatform get() = !isPlatformDown && nowMillis >= platformCutUntil

        init {
            build()
        }

        override fun instant(): Instant = clock.instant().plusMillis(skewMillis)

        override fun onError(error: StoreError) = Unit

        /** Sometimes partitions the router before it can send its verdict. */
        override fun onWithdrawn(
            verdict: Verdict,
            isLocal: Boolean,
        ) {
            log("r$index withdraws ${verdict.move} own=$isLocal")
            if (isLocal && random.nextBoolean()) isolate(this, random.nextLong(10_000, 120_000))
        }

        override fun onMoveSeen(record: MoveRecord) {
            val isNewest = record.startedAtMillis >= (newestTakenBack?.startedAtMillis ?: 0)
            if (record.phase is MovePhase.TakenBack && isNewest) newestTakenBack = record
        }

        override fun onAcquired(fencing: FencingToken) {
            if (!fencingTokens.add(fencing)) fail("r$index got fencing token $fencing, which was in use before")
        }

        private fun newStore(): ObjectStore {
            val restores = restores ?: return faultyStore
            return EraCheckedStore(faultyStore.withDelays { restores.isWriteDelayed() }, timeSource = clock.monotonic)
        }

        private fun build() {
            val self = Incarnation(InstanceId("r$index"), number)
            val peers = hub.join(self)
            val faultyStore = newStore()
            newestTakenBack = null
            lease = LeaseClient(faultyStore, self, clock.monotonic, listener = this)
            selector = VersionSelector(faultyStore, self, peers, this, clock.monotonic, listener = this)
            controller =
                MoveController(
                    faultyStore,
                    lease,
                    selector,
                    peers,
                    { directory() },
                    { order, _ -> sendOrder(order) },
                    this,
                    clock.monotonic,
                )
        }

        fun kill() {
            killedUntil = nowMillis + random.nextLong(500, 30_000)
            log("r$index killed until ${killedUntil - START}")
            open.clear()
            disturbedUntil = killedUntil
            hub.disconnect(InstanceId("r$index"))
            number++
            build()
            platformReachableSince = killedUntil
        }

        fun pause(millis: Long) {
            pausedUntil = nowMillis + millis
            disturbedUntil = pausedUntil
            log("r$index paused ${millis}ms")
        }

        fun cutPlatform(millis: Long) {
            platformCutUntil = nowMillis + millis
            disturbedUntil = platformCutUntil
            log("r$index loses the platform ${millis}ms")
        }

        fun heal() {
            pausedUntil = 0
            killedUntil = 0
            platformCutUntil = 0
        }

        private fun directory() =
            if (reachesPlatform) {
                val listed =
                    nodes.map {
                        ListedInstance(
                            InstanceId("r${it.index}"),
                            ListedInstance.ROUTER_SERVICE,
                            OLD,
                            ZoneId("z"),
                            "::1",
                            1,
                        )
                    }
                Ok(listed.toImmutableList())
            } else {
                Err(StoreError.Unavailable("fault of the test"))
            }

        private fun sendOrder(order: EndpointOrder) =
            if (random.nextInt(5) == 0) Err("fault of the test") else Ok(Unit).also { log("r$index orders $order") }

        private fun storeFault(call: StoreCall): StoreFault {
            if (!reachesPlatform) return if (random.nextBoolean()) StoreFault.UNAVAILABLE else StoreFault.REQUEST_LOST
            if (!isStalled && random.nextInt(faultInterval * 4) == 0) stall(call)
            return if (random.nextInt(faultInterval / 2) == 0) StoreFault.entries.random(random) else StoreFault.NONE
        }

        /** Pauses the process in a call while others run; a write is delayed by less than [MovePlan.WRITE_BOUND]. */
        private fun stall(call: StoreCall) {
            isStalled = true
            val seconds = if (call is StoreCall.Put) random.nextLong(1, 3) else random.nextLong(1, 15)
            val until = nowMillis + seconds * 1_000
            val before = pausedUntil
            pausedUntil = until
            log("r$index stalls ${seconds}s in $call")
            while (nowMillis < until - 1_500) tick(hasFaults = false)
            if (restores?.isDue() == true) restoreStore()
            if (random.nextInt(4) == 0) takeBack("op9")
            pausedUntil = before
            isStalled = false
        }

        suspend fun maintain() {
            selector.maintain()
            lease.maintain()
            controller.maintain()
        }

        fun serve() {
            val due = open.filter { it.first <= nowMillis }
            open.removeAll(due)
            for ((_, choice) in due) {
                val isNewBad =
                    (badNode == null || badNode == index) &&
                        nowMillis - START >= badAfterSeconds * 1_000 &&
                        random.nextDouble() < newFailureShare
                selector.record(
                    choice,
                    VersionObservation(
                        if (choice.version ==
                            NEW
                        ) {
                            !isNewBad
                        } else {
                            random.nextDouble() >= 0.02
                        },
                    ),
                )
            }
            val count = requestsPerTick.toInt() + if (random.nextDouble() < requestsPerTick % 1.0) 1 else 0
            repeat(count) { open += nowMillis + random.nextLong(0, 3_000) to choose() }
        }

        private fun choose(): VersionChoice {
            val known = selector.moves().singleOrNull()
            val verdict = known?.let { selector.verdict(it.id) }
            val choice = selector.choose(ROUTE, RequestId("q${requestCount++}"))
            if (known != null && choice.version == NEW) {
                newestTakenBack?.takeIf { known.startedAtMillis <= it.startedAtMillis }?.let {
                    fail("r$index sent to the new version of ${known.id} after it knew ${it.id} as rolled back")
                }
                if (verdict != null) fail("r$index sent to the new version after the verdict on ${known.id}")
                val isPastDeadline = millis() >= known.deadlineMillis && known.phase is MovePhase.Running
                if (isPastDeadline) fail("r$index sent to the new version after the deadline of ${known.id}")
                if (known.phase is MovePhase.Running) {
                    val start = known.id to known.startedAtMillis
                    val count = (exposed[start] ?: 0) + 1
                    exposed[start] = count
                    val records = history.map { it.second }.filter { it.id to it.startedAtMillis == start }
                    val allotted = records.maxOf { it.allottedRequests }
                    if (count > allotted) fail("${known.id} was exposed to $count requests of $allotted")
                }
            }
            return choice
        }

        private fun knowsOutcome() = selector.moves().any { it.id == current?.id && it.phase.isFinal }

        /** Whether the router knows a later move than [stored] or another outcome of it, from before a restore. */
        private fun knowsOtherThan(stored: MoveRecord) =
            selector.moves().any {
                it.startedAtMillis > stored.startedAtMillis ||
                    (it.id == stored.id && it.phase.isFinal && it.phase::class != stored.phase::class)
            }

        /** Checks that the router applies the outcome once it could learn of it for the propagation bound. */
        fun checkPropagation() {
            if (!isRunning || !reachesPlatform) platformReachableSince = nowMillis
            for (other in nodes) {
                val isReachable =
                    isRunning &&
                        other.isRunning &&
                        (other.reachesPlatform || other.knowsOutcome()) &&
                        isLinked(index, other.index)
                if (!isReachable) peerReachableSince[other.index] = nowMillis
            }
            if (isRunning && violation == null && !isStalled) checkOutcome()
        }

        private fun checkOutcome() {
            val last = current?.takeIf { it.phase.isFinal } ?: return
            if (restores != null && nodes.any { it.knowsOtherThan(last) }) return
            val endedAt = currentSince
            val reachableSince =
                minOf(platformReachableSince, nodes.filter { it.index != index }.minOf { peerReachableSince[it.index] })
            if (nowMillis - maxOf(endedAt, reachableSince) < MovePlan.PROPAGATION_BOUND.toMillis()) return
            val expected = if (last.phase is MovePhase.Completed) NEW else OLD
            val version = selector.choose(ROUTE, RequestId("check")).version ?: OLD
            if (version != expected) fail("r$index sends to $version although ${last.id} is ${last.phase}")
        }
    }

    private companion object {
        const val RESTORE_SEED = 0x5e57023L
        const val NODES = 4
        const val TICKS = 120
        const val SETTLE_TICKS = 180
        const val SETTLED_MILLIS = 20_000
        val START = TestClock().millis()
        val ROUTE = RouteId("plan")
        val OLD = VersionId("v1")
        val NEW = VersionId("v2")
    }
}
