package io.limpetfold.lease

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.store.EraCheckedStore
import io.limpetfold.store.ObjectStore
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import kotlinx.coroutines.runBlocking
import java.time.Duration
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against two simultaneous holders, and against a fencing token that does not increase with each holder. */
class LeasePropertyTest :
    FunSpec({
        test("no schedule has two holders at the same time, and each new holder has a larger fencing token") {
            val failures = (0 until SCHEDULES).mapNotNull { Schedule(it.toLong()).run() }
            println("lease: $SCHEDULES schedules, ${failures.size} failures, ${Schedule.acquisitions} acquisitions")
            failures.firstOrNull() shouldBe null
            (Schedule.acquisitions > SCHEDULES) shouldBe true
        }

        test("no schedule with restores of the store has two holders at the same time or a repeated fencing token") {
            val before = Schedule.acquisitions
            val schedules = (0 until SCHEDULES).map { Schedule(it.toLong(), hasRestores = true) }
            val failures = schedules.mapNotNull { it.run() }
            val acquisitions = Schedule.acquisitions - before
            println(
                "lease with restores: $SCHEDULES schedules, ${failures.size} failures, $acquisitions acquisitions, " +
                    "${schedules.sumOf {
                        it.restoreCount
                    }} restores, ${schedules.sumOf { it.lateWriteCount }} late writes",
            )
            failures.firstOrNull() shouldBe null
            (acquisitions > SCHEDULES) shouldBe true
            schedules.sumOf { it.restoreCount } shouldBeGreaterThan SCHEDULES
            schedules.sumOf { it.lateWriteCount } shouldBeGreaterThan SCHEDULES / 4
        }

        test("a restored copy in which the lease is free is not acquired before the term of its holder has ended") {
            val store = FakeObjectStore()
            val time = TestTimeSource()
            val copy = store.copy()
            val holder = LeaseClient(EraCheckedStore(store), Incarnation(InstanceId("r0"), 1), time)
            holder.maintain()
            store.restore(copy)
            val candidate = LeaseClient(EraCheckedStore(store), Incarnation(InstanceId("r1"), 1), time)
            candidate.maintain()
            candidate.fencingTokenIfHeld(Duration.ZERO) shouldBe null

            time += 3_000.milliseconds
            holder.maintain()
            time += 8_000.milliseconds
            candidate.maintain()
            holder.fencingTokenIfHeld(Duration.ZERO) shouldBe FencingToken(1)
            candidate.fencingTokenIfHeld(Duration.ZERO) shouldBe null
        }

        test(
            "a released lease is acquired at once with a larger fencing token, and an unchanged one only after a full TTL",
        ) {
            val store = FakeObjectStore()
            val time = TestTimeSource()
            val clients = (0..2).map { LeaseClient(store, Incarnation(InstanceId("r$it"), 1), time) }
            clients[0].maintain()
            clients[0].fencingTokenIfHeld(Duration.ZERO) shouldBe FencingToken(1)
            clients[0].release()
            clients[0].fencingTokenIfHeld(Duration.ZERO) shouldBe null
            clients[1].maintain()
            clients[1].fencingTokenIfHeld(Duration.ZERO) shouldBe FencingToken(2)

            clients[2].maintain()
            time += 9_999.milliseconds
            clients[2].maintain()
            clients[2].fencingTokenIfHeld(Duration.ZERO) shouldBe null
            time += 3_000.milliseconds
            clients[2].maintain()
            clients[2].fencingTokenIfHeld(Duration.ZERO) shouldBe FencingToken(3)
        }

        test("the lease counts as held only while more than the margin remains") {
            val time = TestTimeSource()
            val client = LeaseClient(FakeObjectStore(), Incarnation(InstanceId("r"), 1), time)
            client.maintain()
            time += 7_000.milliseconds
            client.fencingTokenIfHeld(Duration.ofMillis(2_700)) shouldBe FencingToken(1)
            client.fencingTokenIfHeld(Duration.ofMillis(2_800)) shouldBe null
        }
    }) {
    /** Instances whose clock rates differ by less than the policy allows; a call may stall while the others run. */
    private class Schedule(
        private val seed: Long,
        private val hasRestores: Boolean = false,
    ) {
        private val random = Random(seed)
        private val shared = FakeObjectStore()
        private val log = mutableListOf<String>()
        private val nodes = (0 until INSTANCES).map { Node(it) }
        private val fencingHolders = mutableMapOf<FencingToken, String>()
        private val restoreRandom = Random(-1 - seed)
        private val copies = mutableListOf(shared.copy())
        private var violation: String? = null
        var restoreCount = 0
            private set
        var lateWriteCount = 0
            private set
        private var isStalled = false

        fun run(): String? {
            repeat(STEPS) { if (violation == null) step() }
            return violation?.let { "$it; seed=$seed schedule=$log" }
        }

        private fun step() {
            if (hasRestores) stepStore()
            val node = nodes.random(random)
            when (random.nextInt(40)) {
                0 -> node.restart()
                1 -> runBlocking { node.act("release") { it.release() } }
                2 -> advance(random.nextLong(20_000), "pause all")
                else -> {
                    advance(random.nextLong(1_500), "wait")
                    runBlocking {
                        nodes
                            .shuffled(
                                random,
                            ).take(random.nextInt(1, INSTANCES + 1))
                            .forEach { it.act("maintain") { k -> k.maintain() } }
                    }
                }
            }
            check()
        }

        /** Copies or restores the store, or executes a write that was sent earlier, perhaps in another era. */
        private fun stepStore() {
            when (restoreRandom.nextInt(12)) {
                0, 1 -> copies += shared.copy()
                2 ->
                    repeat(restoreRandom.nextInt(1, 3)) {
                        val copy = restoreRandom.nextInt(copies.size)
                        log += "restore of copy $copy"
                        shared.restore(copies[copy])
                        restoreCount++
                    }
                3, 4 ->
                    if (shared.delayedCount > 0) {
                        val writes = shared.writeCount
                        shared.executeDelayed()
                        val isExecuted = shared.writeCount > writes
                        if (isExecuted) lateWriteCount++
                        log += "late write executed=$isExecuted"
                    }
            }
        }

        private fun advance(
            millis: Long,
            reason: String,
        ) {
            log += "$reason ${millis}ms"
            nodes.forEach { it.time += (millis * it.clockRate).milliseconds }
            check()
        }

        private fun check() {
            val holders = nodes.mapNotNull { node -> node.client.fencingTokenIfHeld(Duration.ZERO)?.let { node to it } }
            if (holders.size > 1) violation = violation ?: "two holders at once: $holders"
            for ((node, fencing) in holders) {
                val holder = node.incarnation.key
                if (fencing !in fencingHolders) {
                    if (fencingHolders.keys.any { it >= fencing }) {
                        violation =
                            violation ?: "fencing token decreased to $fencing"
                    }
                    acquisitions++
                }
                if (fencingHolders.getOrPut(fencing) { holder } !=
                    holder
                ) {
                    violation = violation ?: "two holders had fencing token $fencing"
                }
            }
        }

        /** Returns the fault of a call. Before it takes effect the process may pause while the other instances run. */
        private fun fault(
            index: Int,
            call: StoreCall,
        ): StoreFault {
            if (!isStalled && random.nextInt(15) == 0) {
                isStalled = true
                log += "r$index stalls in $call"
                repeat(random.nextInt(1, 12)) {
                    advance(random.nextLong(2_500), "stall")
                    if (hasRestores) stepStore()
                    runBlocking {
                        nodes.filter { it.index != index }.forEach {
                            it.act(
                                "maintain",
                            ) { k -> k.maintain() }
                        }
                    }
                    check()
                }
                isStalled = false
            }
            val fault = if (random.nextInt(4) == 0) StoreFault.entries.random(random) else StoreFault.NONE
            if (fault != StoreFault.NONE) log += "r$index $call $fault"
            return fault
        }

        private inner class Node(
            val index: Int,
        ) {
            val clockRate = 1.0 + random.nextDouble(-0.009, 0.009)
            var time = TestTimeSource()
            var incarnation = Incarnation(InstanceId("r$index"), 1)
            private val faulty = shared.withFaults { fault(index, it) }
            var client = newClient()

            fun restart() {
                log += "r$index restarts"
                incarnation = incarnation.copy(number = incarnation.number + 1)
                client = newClient()
            }

            private fun newClient() = LeaseClient(store(), incarnation, time)

            private fun store(): ObjectStore =
                if (hasRestores) {
                    EraCheckedStore(faulty.withDelays { restoreRandom.nextInt(6) == 0 }, timeSource = time)
                } else {
                    faulty
                }

            suspend fun act(
                label: String,
                action: suspend (LeaseClient) -> Unit,
            ) {
                log += "r$index $label"
                action(client)
            }

            override fun toString() = incarnation.key
        }

        companion object {
            var acquisitions = 0
        }
    }

    private companion object {
        const val SCHEDULES = 3_000
        const val STEPS = 120
        const val INSTANCES = 4
    }
}
