package io.limpetfold.replication

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.maps.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.limpetfold.store.ObjectKey
import kotlin.random.Random

/** The oldest copy that the store of a schedule comes back from, in changes. */
private const val MAX_COPIES = 6
private const val SETTLE_MILLIS = 5_000L

/** The shortest time in which deployments require a change to be in force. */
private const val CHANGE_BOUND_MILLIS = 3_000L

/** A configuration of 2,000 routes with names and paths of their own, as JSON of about 700 kB. */
private fun largeConfiguration(random: Random): String =
    (1..2_000).joinToString(",", "{\"version\":63,\"routes\":[", "]}") {
        val name = random.nextInt().toString(36)
        val path = random.nextLong().toString(36)
        """{"name":"r-$name","host":"app.example","path":"/$path/","kind":"streaming","timeoutMillis":4000,""" +
            """"latencyObjectiveMillis":615,"priority":1,"services":[{"service":"engine-old","weight":90},""" +
            """{"service":"engine-new","weight":10}],"attempts":1,"isPublic":false,"hasAffinity":true,""" +
            """"isResumable":false,"eventGapObjectiveMillis":400}"""
    }

/** Load patterns: many routers that start together, and many routers that follow a store whose objects change. */
class RelayedObjectStoreTest :
    FunSpec({
        fun key(number: Int) = ObjectKey("servers/i-$number")

        test("guards against watches of the store by every router of a large fleet") {
            val fleet = RelayFleet(seed = 1, routerCount = 96, zoneCount = 6)
            repeat(60) { fleet.store.write(key(it), "ready") }
            fleet.routers.forEach { it.start() }
            fleet.advance(SETTLE_MILLIS)
            val before = fleet.store.callCount
            repeat(30) {
                fleet.store.write(key(it), "draining")
                fleet.advance(1_000)
            }
            // One relay a zone watches, with at most two calls for each second and each change; 96 routers would need
            // more than 2,880 for the changes alone.
            fleet.store.callCount - before shouldBeLessThan 6 * 2 * 30 * 2
            fleet.routers.forEach { it.seen shouldContainExactly fleet.store.current() }
        }

        test(
            "guards against a large configuration that takes up the link of a relay for longer than a change may take",
        ) {
            val fleet = RelayFleet(seed = 5, routerCount = 20, zoneCount = 1, linkMbps = 10.0)
            fleet.store.write(key(1), "ready")
            fleet.routers.forEach { it.start() }
            fleet.advance(SETTLE_MILLIS)
            fleet.store.write(key(1), largeConfiguration(fleet.random))
            fleet.advance(CHANGE_BOUND_MILLIS)
            fleet.routers.count { it.seen == fleet.store.current() } shouldBe 20
            fleet.routers.count { it.isLinkBusy } shouldBe 0
        }

        test("guards against a change that reaches a router late while relays are killed, frozen or cut off") {
            repeat(30) { seed ->
                withClue("seed $seed") { runSchedule(seed, CHANGE_BOUND_MILLIS) }
            }
        }

        test("guards against a router that keeps what a restored store has lost, or misses what it holds") {
            repeat(30) { seed ->
                withClue("seed $seed") { runSchedule(1_000 + seed, CHANGE_BOUND_MILLIS, hasRestores = true) }
            }
        }

        test("guards against a router that does not learn of a restore because the store does not respond to it") {
            val fleet = RelayFleet(seed = 3, routerCount = 4, zoneCount = 1)
            fleet.routers.forEach { it.start() }
            fleet.advance(SETTLE_MILLIS)
            val copy = fleet.store.copy()
            fleet.store.write(key(1), "ready")
            fleet.advance(SETTLE_MILLIS)
            val cuts = fleet.routers.filter { it.relays().isNotEmpty() }.map { it.cutFromStore() }
            fleet.store.restore(copy)
            // A router that another one asked watches only the store for a while, whether it responds or not.
            fleet.advance(3 * SETTLE_MILLIS)
            fleet.routers.map { it.era } shouldBe List(4) { 1L }
            cuts.forEach { it() }
            fleet.advance(SETTLE_MILLIS)
            fleet.routers.forEach { it.seen shouldBe emptyMap() }
        }

        test("guards against two routers that confirm each other's outdated state while both are cut from the store") {
            val fleet = RelayFleet(seed = 7, routerCount = 4, zoneCount = 1)
            fleet.routers.forEach { it.start() }
            fleet.advance(SETTLE_MILLIS)
            val cuts = fleet.routers.map { it.cutFromStore() }
            fleet.advance(SETTLE_MILLIS)
            fleet.store.write(key(1), "ready")
            cuts.last()()
            fleet.advance(SETTLE_MILLIS)
            fleet.routers
                .last()
                .seen
                .keys shouldBe setOf(key(1))
        }
    })

/** Random changes of the store and faults of routers; checks that routers without a fault see each change in time. */
private fun runSchedule(
    seed: Int,
    boundMillis: Long,
    hasRestores: Boolean = false,
) {
    val fleet = RelayFleet(seed, routerCount = 24, zoneCount = 1 + seed % 4)
    val random = fleet.random
    fleet.routers.forEach { it.start() }
    fleet.advance(SETTLE_MILLIS)
    val faults = RandomFaults(fleet)
    val copies = ArrayDeque<WatchingStore.Copy>()
    repeat(40) { number ->
        faults.begin()
        val key = ObjectKey("servers/i-${random.nextInt(8)}")
        if (hasRestores && copies.isNotEmpty() && random.nextInt(5) == 0) fleet.store.restore(copies.random(random))
        copies.addLast(fleet.store.copy())
        if (copies.size > MAX_COPIES) copies.removeFirst()
        if (random.nextInt(4) == 0) fleet.store.remove(key) else fleet.store.write(key, "value $number")
        val undisturbed = faults.undisturbed()
        val isBoundChecked = random.nextBoolean()
        faults.advance(if (isBoundChecked) boundMillis else random.nextLong(100, 1_000))
        if (isBoundChecked) {
            undisturbed.forEach {
                it.shouldBeUpToDate(
                    fleet,
                    "change $number at ${fleet.nowMillis} ms, faults ${faults.history}",
                )
            }
        }
    }
    faults.endAll()
    fleet.advance(SETTLE_MILLIS)
    fleet.routers.forEach { it.shouldBeUpToDate(fleet, "the end") }
}

private fun RelayFleet.Router.shouldBeUpToDate(
    fleet: RelayFleet,
    moment: String,
) = withClue("router $id after $moment") { seen shouldContainExactly fleet.store.current() }

/** Faults that begin at random routers and end after a random time. */
private class RandomFaults(
    private val fleet: RelayFleet,
) {
    private class Fault(
        val untilMillis: Long,
        val end: () -> Unit,
    )

    private val faults = HashMap<RelayFleet.Router, Fault>()

    /** The faults that have begun, for the message of a failed check. */
    val history = mutableListOf<String>()
    private val endedAtMillis = HashMap<RelayFleet.Router, Long>()

    fun begin() {
        val random = fleet.random
        val target = fleet.routers.filter { it !in faults }.randomOrNull(random) ?: return
        val kind = random.nextInt(5)
        val end: () -> Unit =
            when (kind) {
                0 -> target.cutFromStore()
                1 -> target.cutFromPeers()
                2 -> target.freeze()
                3 -> target.kill()
                else -> return
            }
        history += "${fleet.nowMillis} ms ${target.id} ${KINDS[kind]}"
        faults[target] = Fault(fleet.nowMillis + random.nextLong(500, 8_000), end)
    }

    /** The routers that are bound by the time in which a change must be in force. */
    fun undisturbed(): List<RelayFleet.Router> =
        fleet.routers.filter { router ->
            router !in faults && endedAtMillis[router].let { it == null || fleet.nowMillis - it >= CONTACT_MILLIS }
        }

    fun advance(millis: Long) =
        repeat((millis / STEP_MILLIS).toInt()) {
            fleet.advance(STEP_MILLIS)
            val ended = faults.filterValues { it.untilMillis <= fleet.nowMillis }
            ended.forEach { (router, fault) ->
                fault.end()
                faults.remove(router)
                endedAtMillis[router] = fleet.nowMillis
            }
        }

    fun endAll() = faults.values.forEach { it.end() }

    private companion object {
        const val STEP_MILLIS = 50L
        val KINDS = listOf("cut from store", "cut from peers", "frozen", "killed")

        /** A router is bound again once it has been without a fault for this time. */
        const val CONTACT_MILLIS = 3_000L
    }
}
