package io.limpetfold.rollout

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.lease.FencingToken
import io.limpetfold.lease.LeaseClient
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import io.limpetfold.store.Versioned
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.time.InstantSource
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Drives all moves while this instance holds the lease.
 *
 * A round reads the moves, asks the routers for outcome counts (the question carries the moves, so it also spreads them), and writes at most
 * one change for each move. A change is conditional on the record on which it was decided. A new holder first stamps its fencing number on
 * each running move; from then on every change that an earlier holder decided fails.
 *
 * - Killed at any point: all that a successor needs is in the move object (step, allotment, grants) or at the routers (counts, verdicts).
 *   Exposure granted stays bounded. Without a successor each router turns to the old version at the deadline.
 * - Paused and woken between the lease check and a write: the write fails when the successor has stamped the move. When it has not yet, the write
 *   takes effect, and the successor decides on the result; `Completed` written so still has the agreement of every router with exposure,
 *   which only a newer version of the move voids. An order to an endpoint is sent only after a lease check with the order's timeout as margin.
 * - Cut off from the platform: no write succeeds and the lease runs out. Cut off from a router that holds exposure: `Completed` is not
 *   written, because that router may hold a verdict; a router that the list no longer shows and that was silent for the list's lag is left out.
 * - Answer to `Completed` lost: [TypedObject] reads the object again; if that fails too, the next round or the successor reads it. The write
 *   is sent early enough to take effect before its limit, and it is never repeated after the limit.
 * - Not covered: a pause longer than [MovePlan.WRITE_BOUND] between the last check and the sending of `Completed`, while no successor stamps
 *   the move. The write then takes effect late, and routers that turned to the old version at the deadline turn to the new one.
 *
 * Call [maintain] about once a second; it does nothing without the lease. Not safe for concurrent use.
 */
class MoveController(
    private val store: ObjectStore,
    private val lease: LeaseClient,
    private val local: VersionSelector,
    private val peers: PeerNetwork,
    private val directory: InstanceDirectory,
    private val orders: EndpointOrderSender,
    private val clock: InstantSource,
    private val monotonic: TimeSource,
    private val policy: MoveControllerPolicy = MoveControllerPolicy(),
    private val listener: RolloutListener = RolloutListener.NONE,
) {
    private val reports = HashMap<MoveId, MutableMap<Incarnation, MoveReport>>()
    private val pooled = HashMap<MoveId, PooledEvidence>()
    private val lastHeard = HashMap<Incarnation, TimeMark>()
    private val sentOrders = HashSet<Pair<MoveId, MovePhase>>()
    private var listed: Set<InstanceId>? = null
    private var term: FencingToken? = null

    /** Performs one round under the lease. */
    suspend fun maintain() {
        val fencing = lease.fencingTokenIfHeld(MovePlan.WRITE_BOUND)
        if (fencing != term) beginTerm(fencing)
        if (fencing == null) return
        val moves =
            MoveCommands.readMoves(store).fold(
                success = { it },
                failure = { return listener.onError(it) },
            )
        if (moves.isEmpty()) return
        readDirectory()
        val heard = gather(moves, completing = emptySet())
        val records = moves.mapNotNull { it.value }
        reports.keys.retainAll(records.mapTo(HashSet()) { it.id })
        pooled.keys.retainAll(reports.keys)
        var hasChanged = false
        for (move in moves) {
            val record = move.value ?: continue
            hasChanged = advance(move, record, heard, fencing) || hasChanged
            if (record.phase.isFinal) finish(record, heard, records, fencing)
        }
        if (hasChanged) MoveCommands.readMoves(store).get()?.let { gather(it, completing = emptySet()) }
    }

    private suspend fun advance(
        move: Versioned<MoveRecord>,
        record: MoveRecord,
        heard: Set<Incarnation>,
        fencing: FencingToken,
    ): Boolean {
        if (record.phase.isFinal) return false
        if (record.fencing < fencing) return write(record, record.copy(fencing = fencing))
        val known = reports[record.id].orEmpty()
        val evidence = pooled.getOrPut(record.id) { PooledEvidence(record.plan) }
        evidence.add(known.mapValues { it.value.guard })
        val view = MoveView(clock.millis(), known, heard.filterTo(HashSet()) { it in known }, evidence.finding)
        return when (val decision = MoveDecider.decide(record, view)) {
            MoveDecision.Keep -> false
            is MoveDecision.Write -> write(record, decision.next)
            MoveDecision.Complete -> hasAgreement(move, record) && write(record, record.copy(phase = MovePhase.Completed))
        }
    }

    /** Asks all routers to agree to the completion; true when each one with exposure that may still run has agreed. */
    private suspend fun hasAgreement(
        move: Versioned<MoveRecord>,
        record: MoveRecord,
    ): Boolean {
        val heard = gather(listOf(move), completing = setOf(record.id))
        val known = reports[record.id].orEmpty()
        return record.grants.keys.mapNotNull(Incarnation::parse).all { router ->
            val report = known[router]
            if (router in heard) report?.hasAgreed == true && report.version == move.version else isEnded(router, heard)
        }
    }

    private fun isEnded(
        router: Incarnation,
        heard: Set<Incarnation>,
    ): Boolean {
        if (heard.any { it.instance == router.instance && it.number > router.number }) return true
        val isListed = listed?.contains(router.instance) ?: true
        val silence = lastHeard.getOrPut(router) { monotonic.markNow() }.elapsedNow()
        return !isListed && silence >= policy.listLag.toKotlinDuration()
    }

    private suspend fun write(
        expected: MoveRecord,
        changed: MoveRecord,
    ): Boolean {
        val fencing = lease.fencingTokenIfHeld(MovePlan.WRITE_BOUND) ?: return false
        // A later holder has changed the move.
        if (expected.fencing > fencing) return false
        val isPhaseNew = changed.phase != expected.phase
        val next =
            changed.copy(
                fencing = fencing,
                changedBy = if (isPhaseNew) "controller $fencing" else changed.changedBy,
                changedAtMillis = if (isPhaseNew) clock.millis() else changed.changedAtMillis,
            )
        val updated =
            TypedObject(store, MoveRecord.key(expected.route), MoveRecord.serializer()).update(isApplied = { it == next }) { current ->
                // The change may run again after a delay, so both time limits are checked on each attempt.
                val isTooLate = isPhaseNew && next.phase is MovePhase.Completed && clock.millis() >= expected.completionLimitMillis
                val isAllowed = current == expected && !isTooLate && lease.fencingTokenIfHeld(MovePlan.WRITE_BOUND) == fencing
                if (isAllowed) Change.Write(next) else Change.Refuse(Unit)
            }
        return updated.fold(
            success = {
                listener.onMoveWritten(next)
                true
            },
            failure = { error ->
                if (error is UpdateError.Failed) listener.onError(error.error)
                false
            },
        )
    }

    /** Gathers which routers have confirmed the outcome, stores those that have not, and sends the orders that follow from the outcome. */
    private suspend fun finish(
        record: MoveRecord,
        heard: Set<Incarnation>,
        all: List<MoveRecord>,
        fencing: FencingToken,
    ) {
        // The outcome is final, so a confirmation stays valid while its incarnation runs; a newer one has to confirm again.
        val confirmed =
            reports[record.id]
                .orEmpty()
                .entries
                .groupBy { it.key.instance }
                .filterValues { reports -> reports.maxBy { it.key.number }.value.inForce::class == record.phase::class }
                .keys
        val expected = listed.orEmpty() + heard.map { it.instance }
        val unconfirmed = (expected - confirmed).sorted()
        if (unconfirmed != record.unconfirmed) write(record, record.copy(unconfirmed = unconfirmed))
        val order =
            when (record.phase) {
                is MovePhase.Running -> return
                MovePhase.Completed -> {
                    if (unconfirmed.isNotEmpty()) return
                    EndpointOrder.Drain(record.id, record.route, record.oldVersion, fencing)
                }
                is MovePhase.TakenBack -> EndpointOrder.Unload(record.id, record.route, record.newVersion, fencing)
            }
        val isNeeded = all.any { it.route != record.route && it.needs(order.version) }
        if (!isNeeded && record.id to record.phase !in sentOrders) send(order, record)
    }

    private suspend fun send(
        order: EndpointOrder,
        record: MoveRecord,
    ) {
        if (lease.fencingTokenIfHeld(policy.orderTimeout) != order.fencing) return
        orders.send(order, policy.orderTimeout).fold(
            success = { sentOrders += record.id to record.phase },
            failure = { listener.onOrderFailed(order, it) },
        )
    }

    private fun MoveRecord.needs(version: VersionId): Boolean =
        when (phaseAt(clock.millis())) {
            is MovePhase.Running -> version == oldVersion || version == newVersion
            MovePhase.Completed -> version == newVersion
            is MovePhase.TakenBack -> version == oldVersion
        }

    /** Asks this and all other routers for their reports; returns the incarnations that answered. */
    private suspend fun gather(
        moves: List<Versioned<MoveRecord>>,
        completing: Set<MoveId>,
    ): Set<Incarnation> {
        val query = ReportQuery(moves.mapNotNull { move -> move.value?.let { MoveSnapshot(it, move.version) } }, completing)
        val answers =
            coroutineScope {
                peers
                    .connectedPeers()
                    .map { async { peers.ask(it, RolloutTopics.REPORT, query, policy.reportTimeout).get() } }
                    .awaitAll()
                    .filterNotNull()
            } + local.answer(query)
        for (answer in answers) {
            lastHeard[answer.router] = monotonic.markNow()
            answer.moves.forEach { reports.getOrPut(it.move) { HashMap() }[answer.router] = it }
        }
        return answers.mapTo(HashSet()) { it.router }
    }

    private suspend fun readDirectory() {
        directory.list().fold(
            success = { list ->
                listed = list.filter { it.service == ListedInstance.ROUTER_SERVICE }.mapTo(HashSet()) { it.instance }
            },
            failure = { listener.onError(it) },
        )
    }

    private fun beginTerm(fencing: FencingToken?) {
        term = fencing
        reports.clear()
        pooled.clear()
        lastHeard.clear()
        sentOrders.clear()
    }
}
