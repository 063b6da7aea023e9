package io.limpetfold.measure.slopes

import com.github.michaelbull.result.Ok
import io.limpetfold.config.FleetConfig
import io.limpetfold.core.Incarnation
import io.limpetfold.core.EndpointId
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

/** Measures how memory, processor time, messages and objects grow with the number of items. */
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
                val store = LedgerItems.ledgers(items, holders - 1)
                val bytes = HeapSlope.bytesPerItem(items) { LedgerItems.agent(store).also { agent -> runBlocking { LedgerItems.spend(agent, items) } } }
                add("heap of a budget account, $holders holders in its ledger", bytes, "B", items)
            }
        }
        for (items in listOf(4_000, 12_000)) {
            val held = SlopeItems.journals(items).sumOf { it.entryCount }
            val copies = HeapSlope.bytesPerItem(items) { SlopeItems.journals(it) } * items / held
            add("heap of a journal entry (opened and closed, with its total)", copies, "B", items)
        }
        for (items in listOf(330, 1_320)) {
            add("heap of a listed router that was heard", HeapSlope.bytesPerItem(items) { SlopeItems.membership(it) }, "B", items)
            add(
                "heap of a listed router that was not heard",
                HeapSlope.bytesPerItem(items) { SlopeItems.membership(it, isHeard = false) },
                "B",
                items,
            )
        }
        for (items in listOf(2_000, 8_000)) {
            add("heap of an endpoint state", HeapSlope.bytesPerItem(items) { SlopeItems.limiter(SlopeItems.capacities(it)) }, "B", items)
        }
        for (items in listOf(5_000, 21_000)) {
            val text = ConfigItems.configText(items)
            val bytes = HeapSlope.bytesPerItem(items) { used(TypedObject.JSON.decodeFromString(FleetConfig.serializer(), text)) }
            add("heap of a workspace of the configuration, with indexes", bytes, "B", items)
        }
    }

    /** Fills the indexes that a configuration in force has. */
    private fun used(config: FleetConfig): FleetConfig {
        config.workspaceByKey("key-1")
        config.workspace(SlopeItems.workspace(1))
        return config
    }

    private fun objects() {
        for (items in listOf(5_000, 21_000)) {
            val bytes = ConfigItems.configText(items).length - ConfigItems.configText(0).length
            add("configuration object, for each workspace", bytes.toDouble() / items, "B", items)
        }
        for (holders in listOf(8, 330)) {
            val store = LedgerItems.ledgers(1, holders)
            check(LedgerItems.holderCount(store, 0) == holders) { "the ledger has not $holders holders" }
            add("ledger object, for each holder", LedgerItems.ledgerBytes(store, 0).toDouble() / holders, "B", holders)
        }
    }

    private fun instanceList() {
        val items = 1_180
        val text = SlopeItems.instanceListText(items)
        add("instance list, for each instance", text.length.toDouble() / items, "B", items)
    }

    private fun processor() {
        accountRounds()
        slope("round of Membership and its connections, for each listed router", "µs", 100, 330, ROUNDS) { items ->
            val clock = TestClock()
            val membership = SlopeItems.membership(items, clock,isHeard = false)
            return@slope {
                clock.advance(ONE_SECOND)
                runBlocking { membership.maintain() }
                membership.connectionTargets()
            }
        }
        for (seats in listOf(2, 330)) limiterRounds(seats)
        slope("weights made for the limiter (4 a second), for each workspace", "µs", 5_000, 21_000, FEW_ROUNDS) { items ->
            val config = ConfigItems.config(items)
            return@slope { ConfigItems.routeLimits(config) }
        }
        slope("decoding a configuration, for each workspace", "µs", 5_000, 21_000, FEW_ROUNDS) { items ->
            val text = ConfigItems.configText(items)
            return@slope { used(TypedObject.JSON.decodeFromString(FleetConfig.serializer(), text)) }
        }
    }

    /** Endpoints have 8 slots: 2 seats divide them evenly, 330 seats leave a remainder that goes to seats by rank. */
    private fun limiterRounds(seats: Int) =
        slope("round of EndpointLimiter with $seats seats (4 a second), for each endpoint", "µs", 200, 850, FEW_ROUNDS) { items ->
            val capacities = SlopeItems.capacities(items)
            val limiter = SlopeItems.limiter(capacities, seats = seats)
            val limits = ConfigItems.routeLimits(ConfigItems.config(10))
            return@slope {
                limiter.update(limits, 0, true, seats, capacities)
                runBlocking { limiter.maintain() }
            }
        }

    private fun accountRounds() {
        slope("round of BudgetAgent (1 a second), for each account", "µs", 1_000, 8_000, ROUNDS) { items ->
            val clock = TestClock()
            val agent = LedgerItems.agent(LedgerItems.ledgers(items, 0), clock = clock)
            runBlocking { LedgerItems.spend(agent, items) }
            return@slope {
                clock.advance(ONE_SECOND)
                runBlocking { agent.maintain() }
            }
        }
        for (holders in listOf(8, 330)) {
            val clock = TestClock()
            val store = LedgerItems.ledgers(1, holders - 1)
            val agent = LedgerItems.agent(store, clock = clock)
            runBlocking { LedgerItems.spend(agent, 1) }
            val micros =
                CpuSlope.microsPerRound(ROUNDS) {
                    clock.advance(TEN_SECONDS)
                    runBlocking {
                        val reservation = LedgerItems.reserve(agent)
                        agent.settle(reservation, 1)
                        agent.maintain()
                    }
                }
            add("reading and writing one ledger of $holders holders", micros, "µs", holders)
        }
    }

    private fun slope(
        name: String,
        unit: String,
        few: Int,
        many: Int,
        rounds: Int,
        make: (Int) -> () -> Any?,
    ) {
        val fewMicros = make(few).let { round -> CpuSlope.microsPerRound(rounds) { round() } }
        val manyMicros = make(many).let { round -> CpuSlope.microsPerRound(rounds) { round() } }
        add(name, CpuSlope.perItem(few, fewMicros, many, manyMicros), unit, many, "$few items ${micros(fewMicros)}, $many items ${micros(manyMicros)}")
    }

    private fun micros(value: Double) = "${value.toLong()} µs"

    private fun idle() {
        val idle = IdleCalls.perRouterAndMinute(IDLE_ROUTERS, IDLE_MILLIS)
        val note = "$IDLE_ROUTERS router processes for ${IDLE_MILLIS / 1_000} s"
        add("platform reads of an idle router, waiting watches among them", idle["reads"] ?: 0.0, "a minute", IDLE_ROUTERS, note)
        add("platform writes of an idle router", idle["writes"] ?: 0.0, "a minute", IDLE_ROUTERS, note)
        add("processor of an idle router process", idle.getValue("cores"), "cores", IDLE_ROUTERS, note)
    }

    private fun messages() {
        val peers = WirePeers()
        heartbeatMessages(peers)
        runBlocking {
            val journals = SlopeItems.journals(0, peers)
            SlopeItems.journalOne(journals[0])
            wire("journal.copy", peers, "opened record")
            SlopeItems.journalEnd(journals[0])
            wire("journal.copy", peers, "closed record")
            loan()
            moveReport()
        }
    }

    private fun heartbeatMessages(peers: WirePeers) {
        SlopeItems.membership(1, peers = peers)
        wire("membership.heartbeat", peers, "heartbeat")
    }

    private suspend fun loan() {
        val peers = WirePeers()
        val capacities = listOf(DeclaredEndpoint(EndpointId("jezik-kr-17"), ZoneId("kr-central-0"), 2))
        val limiters = List(2) { SlopeItems.limiter(capacities, peers, it) }
        val candidates = listOf(EndpointCandidate(EndpointId("jezik-kr-17"), ZoneId("kr-central-0")))
        repeat(2) { limiters[0].acquire(RouteId("r"), WorkspaceId("w"), candidates, Duration.ofMillis(200)) }
        wire("limits.loans", peers, "loan of one endpoint")
    }

    private suspend fun moveReport() {
        val peers = WirePeers()
        val clock = TestClock()
        val store = FakeObjectStore()
        val members = List(2) { SlopeItems.router(it) }
        val order =
            MoveRequest(MoveId("2026-12-04-jezik"), RouteId("jezik"), VersionId("jezik-7"), VersionId("jezik-8"), "ana", clock.instant() + TEN_SECONDS.multipliedBy(30))
        MoveCommands(store, clock).start(order)
        val controllers = members.map { controller(it, members, peers, store, clock) }
        repeat(MOVE_ROUNDS) {
            clock.advance(ONE_SECOND)
            controllers.forEach { it() }
        }
        wire("rollout.report", peers, "report on one move")
    }

    private fun controller(
        self: Incarnation,
        members: List<Incarnation>,
        peers: WirePeers,
        store: FakeObjectStore,
        clock: TestClock,
    ): suspend () -> Unit {
        val network = peers.join(self)
        val router = VersionSelector(store, self, network, clock, clock.monotonic)
        val lease = LeaseClient(store, self, clock.monotonic)
        val listed =
            members.map { ListedInstance(it.instance, ListedInstance.ROUTER_SERVICE, VersionId("0.1.0"), ZoneId("z"), "::1", 1) }.toImmutableList()
        val controller = MoveController(store, lease, router, network, { Ok(listed) }, { _, _ -> Ok(Unit) }, clock, clock.monotonic)
        return {
            router.maintain()
            lease.maintain()
            controller.maintain()
        }
    }

    private fun wire(
        topic: String,
        peers: WirePeers,
        what: String,
    ) {
        val sizes = checkNotNull(peers.sizes()[topic]) { "no message of topic $topic was sent" }
        val bytes = FrameSize.askBytes(topic, sizes.askBytes) + FrameSize.replyBytes(sizes.replyBytes)
        add("wire: $what ($topic), question and answer with frames", bytes.toDouble(), "B", 1, "payloads ${sizes.askBytes} and ${sizes.replyBytes} B")
    }

    private fun add(
        name: String,
        value: Double,
        unit: String,
        items: Int,
        note: String = "",
    ) {
        rows += MeasurementReport.row("what" to name, "value" to value, "unit" to unit, "items" to items, "note" to note)
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
