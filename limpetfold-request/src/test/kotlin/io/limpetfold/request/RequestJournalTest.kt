package io.limpetfold.request

import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import io.limpetfold.testing.TestClock
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.time.Duration

class RequestJournalTest :
    FunSpec({
        val workspace = WorkspaceId("school")

        fun opened(
            number: Int,
            holder: Incarnation,
        ) = OpenedRecord(workspace, RequestId("q$number"), holder, EndpointId("e"), 100)

        fun closed(
            number: Int,
            holder: Incarnation,
            spent: Long,
        ) = ClosedRecord(workspace, RequestId("q$number"), holder, 10, spent)

        test("a retry through any router finds the records after the first router crashed") {
            val fleet = Fleet()
            val holder = fleet.incarnation(0)
            repeat(50) {
                fleet.journals[0].recordOpened(opened(it, holder)) shouldBe 2
                fleet.journals[0].recordClosed(closed(it, holder, 10L * (it + 1))) shouldBe 2
            }
            fleet.hub.disconnect(holder.instance)
            for (retried in 1..5) {
                repeat(
                    50,
                ) {
                    fleet.journals[retried]
                        .find(workspace, RequestId("q$it"))
                        ?.closed
                        ?.usedTokens shouldBe 10
                }
            }
            fleet.journals[3].replicatedSpendFromReachable(holder, workspace) shouldBe 500
            fleet.journals[3].find(WorkspaceId("other"), RequestId("q1")) shouldBe null
        }

        test("copies go to two other zones, and a lost acknowledgement is reported as a missing copy") {
            val fleet = Fleet()
            fleet.journals[0].recordOpened(opened(1, fleet.incarnation(0)))
            val holding = (1..5).filter { fleet.journals[it].entryCount == 1 }
            holding.map { fleet.zone(it) }.toSet() shouldBe setOf(fleet.zone(1), fleet.zone(2))
            fleet.hub.fault = { _, _ -> PeerFault.REPLY_LOST }
            fleet.journals[0].recordClosed(closed(1, fleet.incarnation(0), 10)) shouldBe 0
            fleet.missingCopies shouldBe 1
        }

        test("a record that arrives late does not lower the replicated spend") {
            val fleet = Fleet()
            val holder = fleet.incarnation(0)
            fleet.journals[0].recordClosed(closed(1, holder, 70))
            fleet.journals[0].recordClosed(closed(1, holder, 50))
            fleet.journals[0].replicatedSpend(holder, workspace) shouldBe 70
            fleet.journals[4].replicatedSpendFromReachable(holder, workspace) shouldBe 70
        }

        test(
            "a router that does not respond makes the replicated spend an error instead of a value that is too small",
        ) {
            val fleet = Fleet()
            val holder = fleet.incarnation(0)
            fleet.journals[0].recordClosed(closed(1, holder, 70))
            val others = (0..5).filter { it != 4 }.map { fleet.incarnation(it).instance }
            fleet.journals[4].replicatedSpendFromAll(others, holder, workspace).get() shouldBe 70
            val unknown = fleet.journals[4].replicatedSpendFromAll(others, fleet.incarnation(1), workspace)
            unknown.isOk shouldBe true
            unknown.get() shouldBe null

            fleet.hub.fault = { _, to -> if (to == others[1]) PeerFault.REPLY_LOST else PeerFault.NONE }
            fleet.journals[4].replicatedSpendFromAll(others, holder, workspace).isErr shouldBe true
        }

        test("the buffer stays within its maximum count, bytes and age") {
            val fleet = Fleet(JournalPolicy(maxEntries = 20, maxBytes = 6_000, batchWindow = Duration.ZERO))
            repeat(100) { fleet.journals[0].recordOpened(opened(it, fleet.incarnation(0))) }
            fleet.journals.forEach { it.entryCount shouldBeLessThanOrEqual 14 }
            fleet.journals[0]
                .find(workspace, RequestId("q99"))
                ?.opened
                ?.reservedTokens shouldBe 100
            fleet.clock.advance(Duration.ofMinutes(10))
            fleet.journals.forEach { it.maintain() }
            fleet.journals.sumOf { it.entryCount }.toLong() shouldBeLessThanOrEqual 0
        }

        test("records to one peer within the batch window share a message") {
            val fleet = Fleet()
            coroutineScope {
                List(200) { async { fleet.journals[0].recordOpened(opened(it, fleet.incarnation(0))) } }.awaitAll()
            }
            println("RequestJournal: 200 records to two peers each took ${fleet.messageCount} messages")
            fleet.messageCount shouldBeLessThanOrEqual 40
        }
    }) {
    /** Six routers in three zones; [messageCount] counts the requests that they send to each other. */
    private class Fleet(
        policy: JournalPolicy = JournalPolicy(),
    ) {
        val hub = FakePeerHub()
        val clock = TestClock()
        var messageCount = 0
        var missingCopies = 0

        fun incarnation(index: Int) = Incarnation(InstanceId("r$index"), 1)

        fun zone(index: Int) = ZoneId("z${index % 3}")

        private val listener =
            object : JournalListener {
                override fun onCopiesMissing(
                    workspace: WorkspaceId,
                    request: RequestId,
                    acknowledged: Int,
                ) {
                    missingCopies++
                }
            }
        private val members = List(6) { JournalPeer(incarnation(it).instance, zone(it)) }
        val journals =
            List(6) {
                val network = CountingNetwork(hub.join(incarnation(it)))
                RequestJournal(incarnation(it), zone(it), network, { members }, clock.monotonic, policy, listener)
            }

        private inner class CountingNetwork(
            private val network: PeerNetwork,
        ) : PeerNetwork by network {
            override suspend fun <Q : Any, A : Any> ask(
                to: InstanceId,
                topic: PeerTopic<Q, A>,
                message: Q,
                timeout: Duration,
            ) = network.ask(to, topic, message, timeout).also { messageCount++ }
        }
    }
}
