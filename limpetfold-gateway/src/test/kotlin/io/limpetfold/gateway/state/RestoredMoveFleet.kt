package io.limpetfold.gateway.state

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.gateway.codec.MoveOrderCodec
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.rollout.timed.MoveOrder
import io.limpetfold.rollout.timed.MoveStatus
import io.limpetfold.rollout.timed.PreviousMove
import io.limpetfold.rollout.timed.ServiceVersion
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import kotlinx.coroutines.Dispatchers
import java.time.Duration
import kotlin.random.Random

/**
 * Routers that move a service by an operator's orders, without network, on a store that is restored from older copies.
 *
 * Checks in each step that the first final outcome of each target never changes, that a version that was taken back gets
 * no calls, and that one that was completed gets all.
 */
internal class RestoredMoveFleet(
    private val random: Random,
    private val badTargets: Set<String>,
) {
    private val faultRandom = Random(random.nextLong())
    private val memory = FakeObjectStore()
    private val hub = FakePeerHub()
    private val cutOff = mutableSetOf<Int>()
    private val routers = MutableList(ROUTERS) { Router(it, 1) }
    private val outcomes = mutableMapOf<String, MoveStatus>()
    private val outcomeMillis = mutableMapOf<String, Long>()
    private var ordered: String? = null

    var nowMillis = 100_000L
        private set
    val storeWrites: Int get() = memory.writeCount

    init {
        hub.fault = { from, to -> if (isCutOff(from) || isCutOff(to)) PeerFault.REQUEST_LOST else PeerFault.NONE }
    }

    fun copy(): FakeObjectStore.Copy = memory.copy()

    fun restore(copy: FakeObjectStore.Copy) = memory.restore(copy)

    /** Orders a move to [target], or writes the last order again if the store lacks it. */
    suspend fun order(target: String? = ordered) {
        val value = target ?: return
        ordered = value
        val stored = memory.get(KEY).get()
        if (stored?.value != value) memory.put(KEY, value, stored?.version ?: ObjectVersion.NONE)
    }

    fun cutOff(index: Int) {
        cutOff += index
    }

    fun reconnectAll() = cutOff.clear()

    /** Replaces a router by one that knows nothing. */
    fun restart(index: Int) {
        hub.disconnect(routers[index].self.instance)
        routers[index] = Router(index, routers[index].self.number + 1)
    }

    suspend fun run(millis: Long) =
        repeat((millis / STEP_MILLIS).toInt()) {
            nowMillis += STEP_MILLIS
            repeat(CALLS_PER_STEP) { call() }
            if (memory.delayedCount > 0 && faultRandom.nextInt(10) == 0) memory.executeDelayed()
            routers.forEach { it.follow() }
            recordOutcome()
            routers.forEach { it.maintain() }
        }

    /**
     * Runs until a router knows that it has stored the outcome of the last order, which no other has read; returns its
     * index, or null if another one could read the outcome before.
     */
    suspend fun runUntilStored(): Int? {
        while (true) {
            nowMillis += STEP_MILLIS
            repeat(CALLS_PER_STEP) { call() }
            routers.forEach { it.follow() }
            if (storedStatus()?.isFinal == true) return null
            for ((index, router) in routers.withIndex()) {
                router.maintain()
                if (storedStatus()?.isFinal == true) return index.takeIf { !router.selector.hasRunningMoves }
            }
        }
    }

    suspend fun storedStatus(): MoveStatus? = memory.get(KEY).get()?.let { PlainOrders.decode(it).get()?.status }

    fun outcome(target: String): MoveStatus? = outcomes[target]

    /** The share of the calls of each router that go to [target] now. */
    fun shares(target: String): List<Double> =
        routers.map { router ->
            List(50) { router.isCalled(target) }.count { it } /
                50.0
        }

    /** Records what the connected routers have just read; what none has read before a restore can't be known after it. */
    private suspend fun recordOutcome() {
        val order = memory.get(KEY).get()?.let { PlainOrders.decode(it).get() } ?: return
        val status = order.status?.takeIf { it.isFinal } ?: return
        val known =
            outcomes.getOrPut(
                order.target.value,
            ) { status.also { outcomeMillis[order.target.value] = nowMillis } }
        known shouldBe status
    }

    private fun call() {
        val index = random.nextInt(ROUTERS)
        val router = routers[index]
        val choice = router.selector.choose("app")
        val target = choice?.target?.value
        val isNew = choice?.side == MoveSide.NEW && !router.isWithdrawn(choice.target)
        if (target != null && router.hasContact()) check(target, isNew)
        router.selector.onCallStarted(choice)
        val failureShare = if (isNew && target in badTargets) 0.5 else 0.01
        val observation =
            VersionObservation(
                random.nextDouble() >= failureShare,
                Duration.ofMillis(
                    40 + random.nextLong(30),
                ),
            )
        router.selector.onCallEnded(choice, RouteId("r"), observation)
    }

    private fun check(
        target: String,
        isNew: Boolean,
    ) {
        val since = outcomeMillis[target] ?: return
        if (nowMillis > since + CONTACT_MILLIS) isNew shouldBe (outcomes[target] == MoveStatus.COMPLETED)
    }

    private fun isCutOff(instance: InstanceId) = routers.indexOfFirst { it.self.instance == instance } in cutOff

    private inner class Router(
        private val index: Int,
        incarnation: Long,
    ) {
        val self = Incarnation(InstanceId("r$index"), incarnation)
        val selector = TimedVersionSelector(self, { Duration.ofMillis(nowMillis) }, random)
        private val store =
            EraCheckedStore(
                memory.withFaults(::faultOf).withDelays { faultRandom.nextInt(20) == 0 },
            )
        private val coordinator =
            TimedMoveCoordinator(
                selector,
                PlainOrders,
                store,
                hub.join(self),
                Dispatchers.Unconfined,
                DecisionLog("test"),
            ) {
                VERSIONS
            }.also { it.register() }
        private var position: ObjectVersion? = null
        private var contactSince = nowMillis

        fun hasContact() = index !in cutOff && nowMillis > contactSince + CONTACT_MILLIS

        fun isWithdrawn(version: VersionId) = version in selector.withdrawnVersions("app")

        fun isCalled(target: String): Boolean {
            val choice = selector.choose("app")
            return choice?.target?.value == target && choice.side == MoveSide.NEW && !isWithdrawn(choice.target)
        }

        private fun faultOf(call: StoreCall) =
            when {
                index in cutOff -> StoreFault.UNAVAILABLE
                call is StoreCall.Put && faultRandom.nextInt(10) == 0 -> StoreFault.RESPONSE_LOST
                else -> StoreFault.NONE
            }

        /** One step of an `ObjectFeed`. */
        suspend fun follow() {
            if (index in cutOff) contactSince = nowMillis
            val from = position
            if (from == null) {
                store.list(PREFIX).fold(
                    {
                        position = it.position
                        coordinator.onListed(it)
                    },
                    coordinator::onFailed,
                )
            } else {
                store.watch(PREFIX, from, Duration.ZERO).fold(
                    {
                        position = it.position
                        coordinator.onChanged(it)
                    },
                    { if (it is StoreError.HistoryExpired) position = null else coordinator.onFailed(it) },
                )
            }
        }

        suspend fun maintain() {
            val others = routers.filterIndexed { other, _ -> other != index && other !in cutOff }
            coordinator.maintain(others.map { Member(it.self, ZoneId("z"), 0, null, isDraining = false) })
        }
    }

    companion object {
        const val ROUTERS = 5
        const val DURATION_MILLIS = 12_000L
        const val STEP_MILLIS = 200L
        private const val CALLS_PER_STEP = 20
        private const val CONTACT_MILLIS = 2_000L
        private const val PREFIX = "rollouts/"
        private val KEY = ObjectKey("rollouts/app")
        private val VERSIONS = setOf(ServiceVersion("app", VersionId("v2")), ServiceVersion("app", VersionId("v3")))
    }
}

/** The value of an order is its target, and its status is the state and the target. */
private object PlainOrders : MoveOrderCodec {
    override fun decode(stored: StoredObject): Result<MoveOrder, String> {
        val (state, reported) = stored.status?.split(' ') ?: listOf(null, null)
        val status = state?.let(MoveStatus::valueOf)
        val isCurrent = reported == stored.value
        return Ok(
            MoveOrder(
                "app",
                VersionId(stored.value),
                Duration.ofMillis(RestoredMoveFleet.DURATION_MILLIS),
                status.takeIf { isCurrent },
                stored.version,
                if (status == null ||
                    reported == null ||
                    isCurrent
                ) {
                    null
                } else {
                    PreviousMove(VersionId(reported), status)
                },
            ),
        )
    }

    override fun encodeStatus(
        order: MoveOrder,
        status: MoveStatus,
    ): String = "$status ${order.target.value}"
}
