package io.limpetfold.rollout

import io.limpetfold.core.Incarnation
import io.limpetfold.store.ObjectVersion
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The state of the latest move of a route on one router. Not thread-safe; guarded by the lock of [VersionSelector]. */
internal class RouteMove(
    snapshot: MoveSnapshot,
    baseline: RouteBaseline,
    private val monotonic: TimeSource,
) {
    var snapshot = snapshot
        private set
    val record: MoveRecord get() = snapshot.record
    val guard = VersionGuard(snapshot.record.plan, baseline)

    /** Requests without an outcome, and when their version was chosen. */
    val pending = LinkedHashMap<VersionChoice, TimeMark>()

    /** The object version at which this router agreed to complete the move; a newer version voids the agreement. */
    var agreedVersion: ObjectVersion? = null

    /** Whether a restore of the store took back grants that this router had received. */
    private var hasLostGrants = false

    private val outcomes = LongArray(snapshot.record.plan.steps.size)
    private var newSuccessCount = 0L
    private var usedRequests = 0L
    private var pendingNewCount = 0
    private var windowStart: TimeMark = monotonic.markNow()
    private var windowRequests = 0L
    private var lastRate = 0.0

    val hasAgreed: Boolean get() = agreedVersion == snapshot.version

    fun applySnapshot(newer: MoveSnapshot) {
        hasLostGrants =
            hasLostGrants ||
            record.grants.any { (router, count) -> (newer.record.grants[router] ?: 0) < count }
        // The completion that this router agreed to may still reach the restored store.
        if (hasAgreed && newer.isRestored) agreedVersion = newer.version
        snapshot = newer
    }

    fun countRequest() {
        val elapsed = windowStart.elapsedNow()
        if (elapsed >= RATE_WINDOW) {
            lastRate = rate()
            windowStart = monotonic.markNow()
            windowRequests = 0
        }
        windowRequests++
    }

    /** Returns the requests per second; after a route becomes idle the rate decreases as its window grows. */
    fun rate(): Double {
        val elapsed = windowStart.elapsedNow()
        val current = windowRequests / maxOf(elapsed, 1.seconds).inWholeMilliseconds.toDouble() * MILLIS_PER_SECOND
        return if (elapsed < RATE_WINDOW && lastRate > 0) lastRate else current
    }

    /**
     * Returns whether the grant and the in-flight limit allow one more request to the new version. Grants of a restored
     * record may be given out again, so they allow none.
     */
    fun hasExposure(
        self: Incarnation,
        initialInFlightLimit: Int,
    ): Boolean =
        !snapshot.isRestored &&
            usedRequests < record.granted(self) &&
            pendingNewCount < initialInFlightLimit + newSuccessCount

    fun open(choice: VersionChoice) {
        pending[choice] = monotonic.markNow()
        if (choice.side == MoveSide.NEW) {
            usedRequests++
            pendingNewCount++
        }
    }

    fun close(
        choice: VersionChoice,
        observation: VersionObservation,
    ) {
        if (pending.remove(choice) == null) return
        if (choice.side == MoveSide.NEW) {
            pendingNewCount--
            outcomes[choice.step]++
            if (observation.isSuccess) newSuccessCount++
        }
        guard.add(choice.side, observation)
    }

    fun cancel(
        choice: VersionChoice,
        wasSent: Boolean,
    ) {
        if (pending.remove(choice) == null || choice.side != MoveSide.NEW) return
        pendingNewCount--
        if (!wasSent) usedRequests--
    }

    fun report(
        effectivePhase: MovePhase,
        verdict: Verdict?,
    ) = MoveReport(
        move = record.id,
        version = snapshot.version,
        effectivePhase = effectivePhase,
        usedRequests = usedRequests,
        requestsPerSecond = rate(),
        outcomesByStep = outcomes.toList(),
        guard = guard.report,
        verdict = verdict,
        hasAgreed = hasAgreed && verdict == null,
        hasLostGrants = hasLostGrants,
    )

    private companion object {
        val RATE_WINDOW = 5.seconds
        const val MILLIS_PER_SECOND = 1000.0
    }
}
