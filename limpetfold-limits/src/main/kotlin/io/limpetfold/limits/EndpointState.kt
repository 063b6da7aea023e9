package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeMark

/** All that a router knows of one endpoint; guarded by the lock of its [EndpointLimiter]. */
internal class EndpointState(
    val endpoint: EndpointId,
) {
    val loans = EndpointLoans()
    val rotation = Rotation()
    var adaptive = AdaptiveLimit()

    /** Slots of the present seat, before lending. */
    var base = 0
    var inFlight = 0

    /** When the endpoint left the declared list, or null while it is declared. */
    var undeclaredSince: TimeMark? = null
    var lastUsed: TimeMark? = null
    private var load = 0.0
    private var loadReported: TimeMark? = null

    /** Until when the next idle slot is kept for a peer that has none. */
    private val promises = HashMap<Incarnation, TimeMark>()

    /** Whether an own slot is not lent, so that it can be lent once it is idle. */
    val hasOwnSlot: Boolean get() = base > loans.lentOut

    /** Slots that this router may use now; the adaptive limit comes on top. */
    fun capacity(loanLife: Duration): Int = (base - loans.lentOut + loans.usable(loanLife)).coerceAtLeast(0)

    fun canStart(loanLife: Duration): Boolean {
        val capacity = capacity(loanLife)
        return rotation.isIn && inFlight < minOf(adaptive.within(capacity), capacity - promisedExcept(null))
    }

    /** Own idle slots that may be lent to [borrower]. */
    fun idleFor(
        borrower: Incarnation,
        loanLife: Duration,
    ): Int {
        val own = base - loans.lentOut
        val usable = minOf(own, adaptive.within(capacity(loanLife)))
        return (usable - inFlight - promisedExcept(borrower)).coerceAtLeast(0)
    }

    /** Borrowed slots that no request needs. */
    fun returnable(): Int = (base - loans.lentOut + loans.held - inFlight).coerceIn(0, loans.held)

    fun promise(
        peer: Incarnation,
        until: TimeMark,
    ) {
        promises[peer] = until
    }

    fun clearPromise(peer: Incarnation) {
        promises -= peer
    }

    fun report(
        reported: Double,
        now: TimeMark,
    ) {
        load = reported.coerceIn(0.0, 1.0)
        loadReported = now
    }

    /** Own requests per slot plus the reported load, which counts half after each [halfLife]. */
    fun score(
        loanLife: Duration,
        halfLife: Duration,
    ): Double {
        val own = inFlight.toDouble() / capacity(loanLife).coerceAtLeast(1)
        val age = loadReported?.elapsedNow() ?: return own
        return own + load * HALF.pow(age.toDouble(DurationUnit.SECONDS) / halfLife.toDouble(DurationUnit.SECONDS))
    }

    private fun promisedExcept(borrower: Incarnation?): Int {
        promises.values.removeAll { it.hasPassedNow() }
        return promises.keys.count { it != borrower }
    }

    private companion object {
        const val HALF = 0.5
    }
}
