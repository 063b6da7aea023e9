package io.limpetfold.rollout

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
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
 * Advances all moves while this instance holds the lease.
 *
 * A round reads the moves, requests outcome counts from the routers (the query carries the moves, so it also
 * distributes them), and writes at most one change for each move. A change is conditional on the record on which it was
 * decided. A new holder first writes its fencing token into each running move; from then on every change that an
 * earlier holder decided fails.
 *
 * - Killed at any point: all state that a successor needs is in the move object (step, allotment, grants) or on the
 *   routers (counts, verdicts). The granted exposure stays bounded. Without a successor each router switches to the old
 *   version at the deadline.
 * - Paused between the lease check and a write, and resumed: the write fails if the successor has written its token
 *   into the move. If it has not, the write takes effect and the successor continues from the result; a `Completed`
 *   written in this way still has the agreement of every router with exposure, which only a newer version of the move
 *   voids. An order to an endpoint is sent only after a lease check with the order's timeout as margin.
 * - Partitioned from the platform: no write succeeds and the lease expires. Partitioned from a router that holds
 *   exposure: `Completed` is not written, because that router may hold a verdict. A router that is no longer in the
 *   platform's list and was not seen for [MoveControllerPolicy.listLag] is excluded from this rule.
 * - Response to the write of `Completed` lost: [TypedObject] reads the object again; if that fails too, the next round
 *   or the successor reads it. The write is sent early enough to take effect before its limit, and it is never retried
 *   after the limit.
 * - Store restored from an older copy: an outcome that this router or any reachable one knows is written again. A
 *   running move is rolled back, because the sum of the grants no longer bounds its exposure: routers that are cut off or
 *   were killed may have used grants that the copy lacks. Each write names the era in which it was based, so a late write
 *   of an earlier era gives no exposure either. A known move whose start is lost is rolled back.
 * - Not covered: a pause longer than [MovePlan.WRITE_BOUND] between the last check and the sending of `Completed`,
 *   while no successor writes its token into the move. The write then takes effect late, and routers that switched to
 *   the old version at the deadline switch to the new one.
 *
 * Call [maintain] about once a second; it does nothing without the lease. Not safe for concurrent use.
 */
class MoveController(
    private val store: ObjectStore,
    private val lease: LeaseClient,
    private val localSelector: VersionSelector,
    private val peers: PeerNetwork,
    private val directory: InstanceDirectory,
    private val orderSender: EndpointOrderSender,
    private val clock: InstantSource,
    private val monotonic: TimeSource,
    private val policy: MoveControllerPolicy = MoveControllerPolicy(),
    private val listener: RolloutListener = RolloutListener.NONE,
) {
    private val reports = HashMap<MoveId, MutableMap<Incarnation, MoveReport>>()
    private val pooledEvidence = HashMap<MoveId, PooledEvidence>()
    private val lastSeen = HashMap<Incarnation, TimeMark>()
    private val restoredSince = HashMap<Pair<MoveId, Long>, TimeMark>()

    /** The latest era in which all listed routers have told which moves the store lacks; a store begins with era 0. */
    private var checkedEra = 0L
    private val sentOrders = HashSet<Pair<MoveId, MovePhase>>()
    private var listedRouters: Set<InstanceId>? = null
    private var term: FencingToken? = null

    /** Performs one round under the lease. */
    suspend fun maintain() {
        val fencing = lease.fencingTokenIfHeld(MovePlan.WRITE_BOUND)
        if (fencing != term) beginTerm(fencing)
        if (fencing == null) return
        val stored =
            MoveCommands.readMoves(store).fold(
                success = { it },
                failure = { return listener.onError(it) },
            )
        val moves = stored.moves
        val hasMoves = moves.isNotEmpty() || localSelector.moves().isNotEmpty()
        if (!hasMoves && stored.era <= checkedEra) return
        readDirectory()
        val responders = collectReports(stored, completing = emptySet())
        // Routers may know moves that a restored store lacks, until all of them were asked in its era.
        if (haveAllResponded(responders)) checkedEra = stored.era
        val restoredRoutes = restoreMoves(stored, fencing)
        val records = moves.mapNotNull { it.value }
        reports.keys.retainAll(records.mapTo(HashSet()) { it.id })
        pooledEvidence.keys.retainAll(reports.keys)
        var hasChanged = false
        for (move in moves) {
            val record = move.value?.takeIf { it.route !in restoredRoutes } ?: continue
            hasChanged = advance(move, record, responders, fencing) || hasChanged
            if (record.phase.isFinal) processOutcome(move, record, responders, records, fencing)
        }
        if (hasChanged) MoveCommands.readMoves(store).get()?.let { collectReports(it, completing = emptySet()) }
    }

    /** Writes moves again that a restore of the store took back; returns the routes of all such moves. */
    private suspend fun restoreMoves(
        stored: StoredMoves,
        fencing: FencingToken,
    ): Set<RouteId> {
        val lost = MovesToRestore.find(localSelector.snapshots(), stored)
        for (record in lost) {
            val next =
                record.copy(
                    fencing = maxOf(record.fencing, fencing),
                    changedBy = if (record.phase.isFinal) record.changedBy else "controller $fencing",
                    unconfirmed = null,
                    era = stored.era,
                )
            TypedObject(store, MoveRecord.key(record.route), MoveRecord.serializer())
                .update(isApplied = { it == next }) { current ->
                    val isLost = MovesToRestore.toWrite(record, current) != null
                    val isHeld = lease.fencingTokenIfHeld(MovePlan.WRITE_BOUND) == fencing
                    if (isLost && isHeld) Change.Write(next) else Change.Refuse(Unit)
                }.fold(
                    success = { listener.onMoveWritten(next) },
                    failure = { error -> if (error is UpdateError.Failed) listener.onError(error.error) },
                )
        }
        return lost.mapTo(HashSet()) { it.route }
    }

    /**
     * Rolls back a running move of a restored store, because its grants no longer bound its exposure. Until all listed
     * routers have responded, one of them may know an outcome, for which it waits up to the propagation bound.
     */
    private suspend fun rollBackRestored(
        move: Versioned<MoveRecord>,
        record: MoveRecord,
        responders: Set<Incarnation>,
    ): Boolean {
        val since = restoredSince.getOrPut(record.id to move.version.era) { monotonic.markNow() }
        val hasWaited =
            since.elapsedNow() >= MovePlan.PROPAGATION_BOUND.toKotlinDuration() ||
                clock.millis() >= record.completionLimitMillis
        if (!hasWaited && !haveAllResponded(responders)) return false
        return write(move, record, record.copy(phase = MovePhase.TakenBack(TakeBackReason.StoreRestored)))
    }

    private fun haveAllResponded(responders: Set<Incarnation>): Boolean {
        val instances = responders.mapTo(HashSet()) { it.instance }
        return listedRouters?.let { instances.containsAll(it) } == true
    }

    private suspend fun advance(
        move: Versioned<MoveRecord>,
        record: MoveRecord,
        responders: Set<Incarnation>,
        fencing: FencingToken,
    ): Boolean {
        if (record.phase.isFinal) return false
        if (MoveSnapshot(record, move.version).isRestored) return rollBackRestored(move, record, responders)
        if (record.fencing < fencing) return write(move, record, record.copy(fencing = fencing))
        val latestReports = reports[record.id].orEmpty()
        val evidence = pooledEvidence.getOrPut(record.id) { PooledEvidence(record.plan) }
        evidence.add(latestReports.mapValues { it.value.guard })
        val view =
            MoveView(
                clock.millis(),
                latestReports,
                responders.filterTo(HashSet()) { it in latestReports },
                evidence.finding,
            )
        return when (val decision = MoveDecider.decide(record, view)) {
            MoveDecision.Keep -> false
            is MoveDecision.Write -> write(move, record, decision.next)
            MoveDecision.Complete ->
                hasAgreement(move, record) &&
                    write(move, record, record.copy(phase = MovePhase.Completed), isAgreementNeeded = true)
        }
    }

    /** Asks all routers to agree to the completion; true if each one with exposure has agreed or was terminated. */
    private suspend fun hasAgreement(
        move: Versioned<MoveRecord>,
        record: MoveRecord,
    ): Boolean {
        val responders = collectReports(StoredMoves(listOf(move), move.version.era), completing = setOf(record.id))
        val latestReports = reports[record.id].orEmpty()
        return record.grants.keys.mapNotNull(Incarnation::parse).all { router ->
            val report = latestReports[router]
            if (router in
                responders
            ) {
                report?.hasAgreed == true && report.version == move.version
            } else {
                isTerminated(router, responders)
            }
        }
    }

    /**
     * Returns whether [router] was replaced by a newer incarnation, or is unlisted and was not seen for
     * [MoveControllerPolicy.listLag].
     */
    private fun isTerminated(
        router: Incarnation,
        responders: Set<Incarnation>,
    ): Boolean {
        if (responders.any { it.instance == router.instance && it.number > router.number }) return true
        val isListed = listedRouters?.contains(router.instance) ?: true
        val sinceLastSeen = lastSeen.getOrPut(router) { monotonic.markNow() }.elapsedNow()
        return !isListed && sinceLastSeen >= policy.listLag.toKotlinDuration()
    }

    /**
     * Writes [changed] in place of [expected], which was read as [move].
     *
     * @param isAgreementNeeded whether the routers have agreed to the change at the version of [move].
     */
    private suspend fun write(
        move: Versioned<MoveRecord>,
        expected: MoveRecord,
        changed: MoveRecord,
        isAgreementNeeded: Boolean = false,
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
                era = move.version.era,
            )
        val updated =
            TypedObject(store, MoveRecord.key(expected.route), MoveRecord.serializer()).updateVersioned(isApplied = {
                it.value == next
            }) { (current, version) ->
                // The change may be retried after a delay, so limit and lease are checked on each attempt.
                val isTooLate =
                    isPhaseNew && next.phase is MovePhase.Completed && clock.millis() >= expected.completionLimitMillis
                // After a restore, equal content at another version says nothing about the agreement of the routers,
                // nor about grants that followed it.
                val isSameVersion =
                    if (isAgreementNeeded) version == move.version else version.era == move.version.era
                val isAllowed =
                    current == expected &&
                        isSameVersion &&
                        !isTooLate &&
                        lease.fencingTokenIfHeld(MovePlan.WRITE_BOUND) == fencing
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

    /** Stores which routers have not confirmed the final phase, and sends the endpoint order that follows from it. */
    private suspend fun processOutcome(
        move: Versioned<MoveRecord>,
        record: MoveRecord,
        responders: Set<Incarnation>,
        all: List<MoveRecord>,
        fencing: FencingToken,
    ) {
        // The phase is final, so a confirmation holds while its incarnation runs; a newer one must confirm again.
        val confirmed =
            reports[record.id]
                .orEmpty()
                .entries
                .groupBy { it.key.instance }
                .filterValues { reports ->
                    reports.maxBy { it.key.number }.value.effectivePhase::class ==
                        record.phase::class
                }.keys
        val expected = listedRouters.orEmpty() + responders.map { it.instance }
        val unconfirmed = (expected - confirmed).sorted()
        if (unconfirmed != record.unconfirmed) write(move, record, record.copy(unconfirmed = unconfirmed))
        val order =
            when (record.phase) {
                is MovePhase.Running -> return
                MovePhase.Completed -> {
                    if (unconfirmed.isNotEmpty()) return
                    EndpointOrder.Drain(record.id, record.route, record.oldVersion, fencing)
                }
                is MovePhase.TakenBack -> EndpointOrder.Unload(record.id, record.route, record.newVersion, fencing)
            }
        val isVersionInUse = all.any { it.route != record.route && it.uses(order.version) }
        if (!isVersionInUse && record.id to record.phase !in sentOrders) send(order, record)
    }

    private suspend fun send(
        order: EndpointOrder,
        record: MoveRecord,
    ) {
        if (lease.fencingTokenIfHeld(policy.orderTimeout) != order.fencing) return
        orderSender.send(order, policy.orderTimeout).fold(
            success = { sentOrders += record.id to record.phase },
            failure = { listener.onOrderFailed(order, it) },
        )
    }

    private fun MoveRecord.uses(version: VersionId): Boolean =
        when (phaseAt(clock.millis())) {
            is MovePhase.Running -> version == oldVersion || version == newVersion
            MovePhase.Completed -> version == newVersion
            is MovePhase.TakenBack -> version == oldVersion
        }

    /** Requests reports from this router and all connected ones; returns the incarnations that responded. */
    private suspend fun collectReports(
        stored: StoredMoves,
        completing: Set<MoveId>,
    ): Set<Incarnation> {
        val query =
            ReportQuery(
                stored.moves.mapNotNull { move ->
                    move.value?.let { MoveSnapshot(it, move.version) }
                },
                completing,
                stored.era,
            )
        val responses =
            coroutineScope {
                peers
                    .connectedPeers()
                    .map { async { peers.ask(it, RolloutTopics.REPORT, query, policy.reportTimeout).get() } }
                    .awaitAll()
                    .filterNotNull()
            } + localSelector.handleReportQuery(query)
        for (response in responses) {
            lastSeen[response.router] = monotonic.markNow()
            localSelector.applyLostMoves(response.lostMoves)
            response.moves.forEach { reports.getOrPut(it.move) { HashMap() }[response.router] = it }
        }
        return responses.mapTo(HashSet()) { it.router }
    }

    private suspend fun readDirectory() {
        directory.list().fold(
            success = { list ->
                listedRouters =
                    list.filter { it.service == ListedInstance.ROUTER_SERVICE }.mapTo(HashSet()) { it.instance }
            },
            failure = { listener.onError(it) },
        )
    }

    private fun beginTerm(fencing: FencingToken?) {
        term = fencing
        reports.clear()
        pooledEvidence.clear()
        lastSeen.clear()
        restoredSince.clear()
        checkedEra = 0
        sentOrders.clear()
    }
}
