package io.limpetfold.measure.slopes

import com.github.michaelbull.result.Ok
import io.limpetfold.config.FleetConfig
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.lease.LeaseClient
import io.limpetfold.limits.DeclaredEndpoint
import io.limpetfold.limits.EndpointCandidate
import io.limpetfold.measure.report.MeasurementReport
import io.limpetfold.peer.ListedInstance
import io.limpetfold.rollout.MoveCommands
import io.limpetfold.rollout.MoveController
import io.limpetfold.rollout.MoveId
import io.limpetfold.rollout.MoveRequest
import io.limpetfold.rollout.VersionSelector
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonPrimitive
import java.time.Duration

/** Measures how heap, CPU time, peer messages and stored objects grow with the number of items. */
class SlopesMeasurement {
    private val rows = mutableListOf<Map<String, JsonPrimitive>>()

    fun run(): MeasurementReport {
        heap()
        objects()
        instanceList()
        processor()
        messages()
        idle()
        return MeasurementReport(
            "slopes",
            mapOf("java" to System.getProperty("java.version"), "collector" to "full collections before each reading"),
            "none; the two numbers of items show whether the slope is stable",
            rows,
        )
    }

    private fun heap() {
        for (holders in listOf(1, 8)) {
            for (items in listOf(4_000, 12_000)) {
                val store = LedgerFixtures.ledgers(items, holders - 1)
                val bytes =
                    HeapSlope.bytesPerItem(items) {
                        LedgerFixtures.agent(store).also { agent ->
                            runBlocking { LedgerFixtures.spend(agent, items) }
                        }
                    }
                add("heap of a budget account, $holders holders in its ledger", bytes, "B", items)
            }
        }
        for (items in listOf(4_000, 12_000)) {
            val held = RouterFixtures.journals(items).sumOf { it.entryCount }
            val copies = HeapSlope.bytesPerItem(items) { RouterFixtures.journals(it) } * items / held
            add("heap of a journal entry (opened and closed, with its total)", copies, "B", items)
        }
        for (items in listOf(330, 1_320)) {
            add(
                "heap of a listed router that was heard",
                HeapSlope.bytesPerItem(items) {
                    RouterFixtures.membership(it)
                },
                "B",
                items,
            )
            add(
                "heap of a listed router that was not heard",
                HeapSlope.bytesPerItem(items) { RouterFixtures.membership(it, hasHeartbeats = false) },
                "B",
                items,
            )
        }
        for (items in listOf(2_000, 8_000)) {
            add(
                "heap of an endpoint state",
                HeapSlope.bytesPerItem(items) {
                    RouterFixtures.limiter(RouterFixtures.endpoints(it))
                },
                "B",
                items,
            )
        }
        for (items in listOf(5_000, 21_000)) {
            val text = ConfigFixtures.configText(items)
            val bytes =
                HeapSlope.bytesPerItem(items) {
                    withIndexes(TypedObject.JSON.decodeFromString(FleetConfig.serializer(), text))
                }
            add("heap of a workspace of the configuration, with indexes", bytes, "B", items)
        }
    }

    /** Looks up a key and a workspace, which builds the indexes that an active configuration has. */
    private fun withIndexes(config: FleetConfig): FleetConfig {
        config.workspaceByKey("key-1")
        config.workspace(RouterFixtures.workspace(1))
        return config
    }

    private fun objects() {
        for (items in listOf(5_000, 21_000)) {
            val bytes = ConfigFixtures.configText(items).length - ConfigFixtures.configText(0).length
            add("configuration object, for each workspace", bytes.toDouble() / items, "B", items)
        }
        for (holders in listOf(8, 330)) {
            val store = LedgerFixtures.ledgers(1, holders)
            check(LedgerFixtures.holderCount(store, 0) == holders) { "the ledger does not have $holders holders" }
            add(
                "ledger object, for each holder",
                LedgerFixtures.ledgerBytes(store, 0).toDouble() / holders,
                "B",
                holders,
            )
        }
    }

    private fun instanceList() {
        val items = 1_180
        val text = RouterFixtures.instanceListText(items)
        add("instance list, for each instance", text.length.toDouble() / items, "B", items)
    }

    private fun processor() {
        budgetAgentRounds()
        addSlope("round of Membership and its connections, for each listed router", "µs", 100, 330, ROUNDS) { items ->
            val clock = TestClock()
            val membership = RouterFixtures.membership(items, clock, hasHeartbeats = false)
            return@addSlope {
                clock.advance(ONE_SECOND)
                runBlocking { membership.maintain() }
                membership.connectionTargets()
            }
        }
        for (seats in listOf(2, 330)) limiterRounds(seats)
        addSlope(
            "weights made for the limiter (4 a second), for each workspace",
            "µs",
            5_000,
            21_000,
            FEW_ROUNDS,
        ) { items ->
            val config = ConfigFixtures.config(items)
            return@addSlope { ConfigFixtures.routeLimits(config) }
        }
        addSlope("decoding a configuration, for each workspace", "µs", 5_000, 21_000, FEW_ROUNDS) { items ->
            val text = ConfigFixtures.configText(items)
            return@addSlope { withIndexes(TypedObject.JSON.decodeFromString(FleetConfig.serializer(), text)) }
        }
    }

    /** Each endpoint has 8 slots: 2 seats divide them evenly, 330 seats leave a remainder distributed by rank. */
    private fun limiterRounds(seats: Int) =
        addSlope(
            "round of EndpointLimiter with $seats seats (4 a second), for each endpoint",
            "µs",
            200,
            850,
            FEW_ROUNDS,
        ) { items ->
            val endpoints = RouterFixtures.endpoints(items)
            val limiter = RouterFixtures.limiter(endpoints, seats = seats)
            val limits = ConfigFixtures.routeLimits(ConfigFixtures.config(10))
            return@addSlope {
                limiter.update(limits, 0, true, seats, endpoints)
                runBlocking { limiter.maintain() }
            }
        }

    private fun budgetAgentRounds() {
        addSlope("round of BudgetAgent (1 a second), for each account", "µs", 1_000, 8_000, ROUNDS) { items ->
            val clock = TestClock()
            val agent = LedgerFixtures.agent(LedgerFixtures.ledgers(items, 0), clock = clock)
            runBlocking { LedgerFixtures.spend(agent, items) }
            return@addSlope {
                clock.advance(ONE_SECOND)
                runBlocking { agent.maintain() }
            }
        }
        for (holders in listOf(8, 330)) {
            val clock = TestClock()
            val store = LedgerFixtures.ledgers(1, holders - 1)
            val agent = LedgerFixtures.agent(store, clock = clock)
            runBlocking { LedgerFixtures.spend(agent, 1) }
            val micros =
                CpuSlope.microsPerRound(ROUNDS) {
                    clock.advance(TEN_SECONDS)
                    runBlocking {
                        val reservation = LedgerFixtures.reserve(agent)
                        agent.settle(reservation, 1)
                        agent.maintain()
                    }
                }
            add("reading and writing one ledger of $holders holders", micros, "µs", holders)
        }
    }

    private fun addSlope(
        name: String,
        unit: String,
        few: Int,
        many: Int,
        rounds: Int,
        createRound: (Int) -> () -> Any?,
    ) {
        val fewMicros = createRound(few).let { round -> CpuSlope.microsPerRound(rounds) { round() } }
        val manyMicros = createRound(many).let { round -> CpuSlope.microsPerRound(rounds) { round() } }
        add(
            name,
            CpuSlope.perItem(few, fewMicros, many, manyMicros),
            unit,
            many,
            "$few items ${micros(fewMicros)}, $many items ${micros(manyMicros)}",
        )
    }

    private fun micros(value: Double) = "${value.toLong()} µs"

    private fun idle() {
        val idle = IdleRouterUsage.perRouterAndMinute(IDLE_ROUTERS, IDLE_MILLIS)
        val note = "$IDLE_ROUTERS router processes for ${IDLE_MILLIS / 1_000} s"
        add(
            "platform reads of an idle router, waiting watches among them",
            idle["reads"] ?: 0.0,
            "a minute",
            IDLE_ROUTERS,
            note,
        )
        add("platform writes of an idle router", idle["writes"] ?: 0.0, "a minute", IDLE_ROUTERS, note)
        add("processor of an idle router process", idle.getValue("cores"), "cores", IDLE_ROUTERS, note)
    }

    private fun messages() {
        val peers = CborPeerHub()
        heartbeatMessages(peers)
        runBlocking {
            val journals = RouterFixtures.journals(0, peers)
            RouterFixtures.openRequest(journals[0])
            addMessageSize("journal.copy", peers, "opened record")
            RouterFixtures.closeRequest(journals[0])
            addMessageSize("journal.copy", peers, "closed record")
            loanMessages()
            moveReportMessages()
        }
    }

    private fun heartbeatMessages(peers: CborPeerHub) {
        RouterFixtures.membership(1, peers = peers)
        addMessageSize("membership.heartbeat", peers, "heartbeat")
    }

    private suspend fun loanMessages() {
        val peers = CborPeerHub()
        val endpoints = listOf(DeclaredEndpoint(EndpointId("jezik-kr-17"), ZoneId("kr-central-0"), 2))
        val limiters = List(2) { RouterFixtures.limiter(endpoints, peers, it) }
        val candidates = listOf(EndpointCandidate(EndpointId("jezik-kr-17"), ZoneId("kr-central-0")))
        repeat(2) { limiters[0].acquire(RouteId("r"), WorkspaceId("w"), candidates, Duration.ofMillis(200)) }
        addMessageSize("limits.loans", peers, "loan of one endpoint")
    }

    private suspend fun moveReportMessages() {
        val peers = CborPeerHub()
        val clock = TestClock()
        val store = FakeObjectStore()
        val members = List(2) { RouterFixtures.router(it) }
        val request =
            MoveRequest(
                MoveId("2026-12-04-jezik"),
                RouteId("jezik"),
                VersionId("jezik-7"),
                VersionId("jezik-8"),
                "ana",
                clock.instant() + TEN_SECONDS.multipliedBy(30),
            )
        MoveCommands(store, clock).start(request)
        val controllers = members.map { controller(it, members, peers, store, clock) }
        repeat(MOVE_ROUNDS) {
            clock.advance(ONE_SECOND)
            controllers.forEach { it() }
        }
        addMessageSize("rollout.report", peers, "report on one move")
    }

    private fun controller(
        self: Incarnation,
        members: List<Incarnation>,
        peers: CborPeerHub,
        store: FakeObjectStore,
        clock: TestClock,
    ): suspend () -> Unit {
        val network = peers.join(self)
        val selector = VersionSelector(store, self, network, clock, clock.monotonic)
        val lease = LeaseClient(store, self, clock.monotonic)
        val listed =
            members
                .map {
                    ListedInstance(
                        it.instance,
                        ListedInstance.ROUTER_SERVICE,
                        VersionId("0.1.0"),
                        ZoneId("z"),
                        "::1",
                        1,
                    )
                }.toImmutableList()
        val controller =
            MoveController(
                store,
                lease,
                selector,
                network,
                { Ok(listed) },
                { _, _ -> Ok(Unit) },
                clock,
                clock.monotonic,
            )
        return {
            selector.maintain()
            lease.maintain()
            controller.maintain()
        }
    }

    private fun addMessageSize(
        topic: String,
        peers: CborPeerHub,
        description: String,
    ) {
        val sizes = checkNotNull(peers.sizes()[topic]) { "no message of topic $topic was sent" }
        val bytes = FrameSize.askBytes(topic, sizes.askBytes) + FrameSize.replyBytes(sizes.replyBytes)
        add(
            "wire: $description ($topic), question and answer with frames",
            bytes.toDouble(),
            "B",
            1,
            "payloads ${sizes.askBytes} and ${sizes.replyBytes} B",
        )
    }

    private fun add(
        name: String,
        value: Double,
        unit: String,
        items: Int,
        note: String = "",
    ) {
        rows +=
            MeasurementReport.row("what" to name, "value" to value, "unit" to unit, "items" to items, "note" to note)
    }

    private companion object {
        const val ROUNDS = 100
        const val FEW_ROUNDS = 20
        const val MOVE_ROUNDS = 40
        const val IDLE_ROUTERS = 3
        const val IDLE_MILLIS = 30_000L
        val ONE_SECOND: Duration = Duration.ofSeconds(1)
        val TEN_SECONDS: Duration = Duration.ofSeconds(10)
    }
}
