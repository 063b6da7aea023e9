package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.dispatch.PromptDemand
import io.limpetfold.dispatch.PromptPart
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.membership.Member
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.Dispatchers
import java.time.Duration
import kotlin.random.Random

/** Routers that keep a quarantine, without network: endpoints, callers, losses of power and outages of the store. */
internal class RestartingFleet(
    private val random: Random,
    private var crashingShare: Double,
    private val hasOtherLosses: Boolean = true,
) {
    private val clock = TestClock()
    private val hub = FakePeerHub()
    private val memory = FakeObjectStore()
    private var isStoreAway = false
    private val store = memory.withFaults { if (isStoreAway) StoreFault.UNAVAILABLE else StoreFault.NONE }
    private val routers = arrayOfNulls<SimulatedRouter>(ROUTERS)
    private val startsAtMillis = LongArray(ROUTERS)
    private val running = mutableListOf<Call>()
    private val badCallTimes = mutableListOf<Long>()
    private val hasNewIds = random.nextBoolean()
    private val endpoints = MutableList(ENDPOINTS) { EndpointId("i-$it") }
    private var lifetimes = ENDPOINTS
    private var storeChangesAtMillis = if (hasOtherLosses) 10_000L + random.nextLong(20_000) else Long.MAX_VALUE
    private var powerLossAtMillis = 6_000L + random.nextLong(6_000)

    /** Spans in which no router can know what was known before: no router was up and the store was away. */
    private val blindSpans = mutableListOf<LongRange>()
    private var blindSinceMillis: Long? = null
    private val storeAwayTimes = mutableListOf<Long>()

    var nowMillis = 0L
        private set
    val crashes = mutableListOf<Long>()
    val restartTimes = mutableListOf<Long>()
    val restarts: Int get() = restartTimes.size
    var starts = 0
        private set
    var soundCalls = 0
        private set
    var refusedSoundCalls = 0
        private set
    val storeWrites: Int get() = memory.writeCount
    val storeCalls: Int get() = memory.callCount

    suspend fun play(endMillis: Long = 80_000) {
        while (nowMillis < endMillis) {
            changeStore()
            loseRouters()
            startRouters()
            repeat(CALLS_PER_STEP) { arrive() }
            endCalls()
            if (hasOtherLosses && random.nextInt(200) == 0) loseEndpoints(1 + random.nextInt(3))
            maintain()
            advance(STEP_MILLIS)
        }
    }

    /** Calls with the part that were sent later than [CONTACT_MILLIS] after the fifth crash that could be stored. */
    fun sentAfterFifthCrash(): Int {
        val fifth = crashes.filter { couldBeStored(it) }.getOrNull(4) ?: return 0
        return badCallTimes.count { sent -> sent > fifth + CONTACT_MILLIS && blindSpans.none { sent in it } }
    }

    fun copyStore(): FakeObjectStore.Copy = memory.copy()

    /**
     * Restores the store from [copy]. Each router learns of it by another response, up to [learnMillis] later, and about
     * half of them read the list of routers then.
     */
    fun restoreStore(
        copy: FakeObjectStore.Copy,
        restores: Random,
        learnMillis: Long = 3_000,
    ) {
        memory.restore(copy)
        routers.filterNotNull().forEach {
            it.learnsEraAtMillis = nowMillis + restores.nextLong(learnMillis)
            it.isListRead = restores.nextBoolean()
        }
    }

    fun isQuarantined() = routers.filterNotNull().all { it.quarantine.blocks(prompt(isBad = true), it.now()) }

    fun stopCrashing() {
        crashingShare = 0.0
    }

    fun restartAll() {
        restartTimes += nowMillis
        routers.indices.forEach { kill(it, downMillis = 1_000) }
        if (isStoreAway && blindSinceMillis == null) blindSinceMillis = nowMillis
    }

    /** Lets time pass without calls; routers only exchange reports and maintain the store. */
    suspend fun skip(
        minutes: Int = 0,
        seconds: Int = 0,
    ) = repeat((minutes * 60 + seconds) * 2) {
        routers.filterNotNull().forEach { it.maintain() }
        advance(500)
    }

    /** Lets a call with the part that was sent before the quarantine be answered. */
    fun answerCrashingPart() =
        routers.filterNotNull().first().let { it.quarantine.onAnswered(prompt(isBad = true), it.now()) }

    private fun couldBeStored(crash: Long): Boolean {
        val writing = crash..crash + WRITE_MILLIS
        return restartTimes.none { it in writing } && storeAwayTimes.none { it in writing }
    }

    private fun advance(millis: Long) {
        nowMillis += millis
        clock.advance(Duration.ofMillis(millis))
    }

    private fun changeStore() {
        if (nowMillis >= storeChangesAtMillis) {
            isStoreAway = !isStoreAway
            storeChangesAtMillis = nowMillis + if (isStoreAway) 2_000 + random.nextLong(5_000) else 15_000
            val blindSince = blindSinceMillis
            if (!isStoreAway && blindSince != null) {
                blindSpans += blindSince..nowMillis + CONTACT_MILLIS
                blindSinceMillis = null
            }
        }
        if (isStoreAway) storeAwayTimes += nowMillis
        if (isStoreAway && routers.all { it == null } && blindSinceMillis == null) blindSinceMillis = nowMillis
    }

    private fun loseRouters() {
        if (nowMillis >= powerLossAtMillis) {
            restartAll()
            powerLossAtMillis = nowMillis + 4_000 + random.nextLong(14_000)
        } else if (random.nextInt(100) == 0) {
            kill(random.nextInt(ROUTERS), downMillis = 500 + random.nextLong(2_000))
        }
    }

    private fun kill(
        index: Int,
        downMillis: Long,
    ) {
        routers[index]?.let { hub.disconnect(it.self.instance) }
        routers[index] = null
        startsAtMillis[index] = nowMillis + downMillis
        running.removeAll { it.router == index }
    }

    private suspend fun startRouters() {
        for (index in routers.indices) {
            if (routers[index] != null || nowMillis < startsAtMillis[index]) continue
            starts++
            routers[index] = SimulatedRouter(Incarnation(InstanceId("r$index"), starts.toLong())).also { it.start() }
        }
    }

    private suspend fun maintain() =
        routers.forEachIndexed { index, router ->
            if ((nowMillis / STEP_MILLIS + index) % MAINTAIN_STEPS == 0L) router?.maintain()
        }

    private fun arrive() {
        val isBad = random.nextDouble() < crashingShare
        val index = random.nextInt(ROUTERS)
        val router = routers[index] ?: return
        val prompt = prompt(isBad)
        if (!isBad) soundCalls++
        if (router.quarantine.blocks(prompt, router.now())) {
            if (!isBad) refusedSoundCalls++
            return
        }
        if (isBad) badCallTimes += nowMillis
        running += Call(index, random.nextInt(ENDPOINTS), prompt, nowMillis + 100 + random.nextInt(500), isBad)
    }

    private fun endCalls() {
        while (true) {
            val call = running.filter { it.endMillis <= nowMillis }.minByOrNull { it.endMillis } ?: return
            if (call.isBad) {
                crashes += nowMillis
                crash(call.endpoint)
            } else {
                running -= call
                routers[call.router]?.let { it.quarantine.onAnswered(call.prompt, it.now()) }
            }
        }
    }

    private fun loseEndpoints(count: Int) =
        endpoints.indices
            .shuffled(random)
            .take(count)
            .forEach { crash(it) }

    private fun crash(endpoint: Int) {
        val ended = running.filter { it.endpoint == endpoint }
        for (call in ended) {
            routers[call.router]?.let { it.quarantine.onConnectionLost(endpoints[endpoint], call.prompt, it.now()) }
        }
        running -= ended.toSet()
        if (hasNewIds) endpoints[endpoint] = EndpointId("i-${lifetimes++}")
    }

    private fun prompt(isBad: Boolean): PromptDemand {
        val session = random.nextInt(SESSIONS)
        val parts = mutableListOf("system-${session % 4}", "session-$session")
        if (isBad) parts.add(1, "bad")
        parts += "own-${random.nextLong()}"
        return PromptDemand(1_000, 100, parts.map { PromptPart(it, 100) }.toImmutableList())
    }

    private inner class SimulatedRouter(
        val self: Incarnation,
    ) {
        private val monotonic = MonotonicClock(clock.monotonic)
        val quarantine = PromptPartQuarantine()
        private val checkedStore = EraCheckedStore(store, { _, current -> record.onEraChanged(current) })
        private val record: QuarantineRecord =
            QuarantineRecord(quarantine, checkedStore, monotonic, random, DecisionLog("test")) { ROUTERS }
        private val sync =
            QuarantineSync(quarantine, record, hub.join(self), monotonic, Dispatchers.Unconfined).also { it.register() }

        fun now(): Duration = monotonic.now()

        var learnsEraAtMillis = Long.MAX_VALUE
        var isListRead = false

        suspend fun start() = checkedStore.list("routers/").fold(record::onListed) { record.onListFailed() }

        suspend fun maintain() {
            if (nowMillis >= learnsEraAtMillis) {
                learnsEraAtMillis = Long.MAX_VALUE
                if (isListRead) start() else checkedStore.list("rollouts/")
            }
            val others = routers.filterNotNull().filter { it !== this }
            sync.maintain(others.map { Member(it.self, ZoneId("z"), 0, null, isDraining = false) })
            record.maintain()
        }
    }

    private class Call(
        val router: Int,
        val endpoint: Int,
        val prompt: PromptDemand,
        val endMillis: Long,
        val isBad: Boolean,
    )

    private companion object {
        const val ROUTERS = 8
        const val ENDPOINTS = 13
        const val STEP_MILLIS = 50L
        const val CALLS_PER_STEP = 3
        const val MAINTAIN_STEPS = 5L
        const val SESSIONS = 500
        const val CONTACT_MILLIS = 3_000L

        /** Time within which a crash is stored: the delay of the writer and one round. */
        const val WRITE_MILLIS = 1_000L
    }
}
