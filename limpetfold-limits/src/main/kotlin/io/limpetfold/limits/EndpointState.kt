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
        private set
    var inFlight = 0
    private var share: Share? = null

    /** When the endpoint left the declared list, or null while it is declared. */
    var undeclaredSince: TimeMark? = null
    var lastUsed: TimeMark? = null
    private var load = 0.0
    private var loadReported: TimeMark? = null

    /**
     * The next start is this router's own, before any reservation of a peer. It is set when a reservation was used and when a slot was
     * borrowed, so that peers that ask again and again can't keep this router from its turn.
     */
    private var isOwnTurn = false

    /** Until when an idle slot is kept for a peer that has none, in the order of the first ask. */
    private val reservations = LinkedHashMap<Incarnation, TimeMark>()

    /** Sets [base]; ranking the seats costs too much to be repeated in each round while nothing changed. */
    fun refreshBase(
        maxInFlight: Int,
        seat: Int?,
        maxRouters: Int,
    ) {
        val wanted = Share(maxInFlight, seat, maxRouters)
        if (wanted == share) return
        share = wanted
        base = BaseShare.of(endpoint, maxInFlight, seat, maxRouters)
    }

    /** Slots that this router may use now; the adaptive limit comes on top. */
    fun capacity(loanLife: Duration): Int = (base - loans.lentOut + loans.usable(loanLife)).coerceAtLeast(0)

    /** Whether a slot is free; the caller checks the [rotation]. */
    fun canStart(loanLife: Duration): Boolean {
        val capacity = capacity(loanLife)
        val kept = if (isOwnTurn) 0 else reservedBefore(null)
        return inFlight < minOf(adaptive.within(capacity), capacity - kept)
    }

    fun start(now: TimeMark) {
        inFlight++
        lastUsed = now
        isOwnTurn = false
    }

    /** Credits a grant and gives this router the next turn when the grant brought new slots. */
    fun onGranted(
        lender: SeatTenure,
        lentTotal: Long,
        asked: TimeMark,
    ) {
        val before = loans.held
        loans.onGranted(lender, lentTotal, asked)
        if (loans.held > before) isOwnTurn = true
    }

    /** Own idle slots that may be lent to [borrower]. */
    fun idleFor(
        borrower: Incarnation,
        loanLife: Duration,
    ): Int {
        val own = base - loans.lentOut
        val usable = minOf(own, adaptive.within(capacity(loanLife)))
        return (usable - inFlight - reservedBefore(borrower)).coerceAtLeast(0)
    }

    /**
     * Slots of [lender] that no request needs.
     *
     * Of the loans that ran out only this lender's counts: the lenders of the others may have ended, and then their slots
     * belong to someone else.
     */
    fun returnable(
        lender: SeatTenure,
        loanLife: Duration,
    ): Int {
        val held = loans.borrowed[lender]?.held ?: return 0
        val ranOut = if (loans.isUsable(lender, loanLife)) 0 else held
        return (base - loans.lentOut + loans.usable(loanLife) + ranOut - inFlight).coerceIn(0, held)
    }

    fun reserveNext(
        peer: Incarnation,
        until: TimeMark,
    ) {
        reservations[peer] = until
    }

    fun onReservationUsed(peer: Incarnation) {
        if (reservations.remove(peer) != null) isOwnTurn = true
    }

    fun dropReservation(peer: Incarnation) {
        reservations -= peer
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

    /** The peers that are served before [borrower], or all when it has no reservation. */
    private fun reservedBefore(borrower: Incarnation?): Int {
        reservations.values.removeAll { it.hasPassedNow() }
        return reservations.keys.takeWhile { it != borrower }.size
    }

    private data class Share(
        val maxInFlight: Int,
        val seat: Int?,
        val maxRouters: Int,
    )

    private companion object {
        const val HALF = 0.5
    }
}
