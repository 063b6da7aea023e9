package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeMark

/** The state of one endpoint at this router; guarded by the lock of its [EndpointLimiter]. */
internal class EndpointState(
    val endpoint: EndpointId,
) {
    val loans = EndpointLoans()
    val rotation = RotationState()
    var adaptive = AdaptiveLimit()

    /** Slots that the current seat owns, including those that are lent. */
    var baseSlots = 0
        private set
    var inFlight = 0
    private var shareInputs: ShareInputs? = null

    /** When the endpoint was last removed from the declared endpoints, or null while it is declared. */
    var undeclaredSince: TimeMark? = null
    var lastUsedAt: TimeMark? = null
    private var load = 0.0
    private var loadReportedAt: TimeMark? = null

    /**
     * Whether the next idle slot is for this router's own requests, before any reservation of a peer. It is set when a
     * reservation was used and when a slot was borrowed, so that peers that ask repeatedly cannot starve this router.
     */
    private var isOwnTurn = false

    /**
     * Peers for which the next idle slots are reserved and when each reservation expires, in order of their first
     * request.
     */
    private val reservations = LinkedHashMap<Incarnation, TimeMark>()

    /**
     * Updates [baseSlots] if an input changed; ranking the seats is too expensive to repeat in each round of
     * maintenance.
     */
    fun refreshBaseSlots(
        maxInFlight: Int,
        seat: Int?,
        maxRouters: Int,
    ) {
        val inputs = ShareInputs(maxInFlight, seat, maxRouters)
        if (inputs == shareInputs) return
        shareInputs = inputs
        baseSlots = BaseShare.of(endpoint, maxInFlight, seat, maxRouters)
    }

    /** Slots that this router may use now, before the adaptive limit is applied. */
    fun capacity(loanLifetime: Duration): Int =
        (baseSlots - loans.lentSlots + loans.usableSlots(loanLifetime)).coerceAtLeast(0)

    /** Whether a slot is free for a request of this router; does not check [rotation]. */
    fun canStart(loanLifetime: Duration): Boolean {
        val capacity = capacity(loanLifetime)
        val reserved = if (isOwnTurn) 0 else reservedBefore(null)
        return inFlight < minOf(adaptive.within(capacity), capacity - reserved)
    }

    fun onRequestStarted(now: TimeMark) {
        inFlight++
        lastUsedAt = now
        isOwnTurn = false
    }

    /** Records a grant, and gives this router the next turn when the grant brought new slots. */
    fun onGranted(
        lender: SeatTenure,
        lentTotal: Long,
        requestedAt: TimeMark,
    ) {
        val before = loans.borrowedSlots
        loans.onGranted(lender, lentTotal, requestedAt)
        if (loans.borrowedSlots > before) isOwnTurn = true
    }

    /** Idle slots of this router's seat that may be lent to [borrower]. */
    fun idleFor(
        borrower: Incarnation,
        loanLifetime: Duration,
    ): Int {
        val own = baseSlots - loans.lentSlots
        val usable = minOf(own, adaptive.within(capacity(loanLifetime)))
        return (usable - inFlight - reservedBefore(borrower)).coerceAtLeast(0)
    }

    /**
     * Slots borrowed from [lender] that no request in flight needs.
     *
     * Expired loans of other lenders are not counted, because those lenders may have ended, and their slots may by now
     * belong to other routers.
     */
    fun returnable(
        lender: SeatTenure,
        loanLifetime: Duration,
    ): Int {
        val held = loans.borrowed[lender]?.held ?: return 0
        val expired = if (loans.isUsable(lender, loanLifetime)) 0 else held
        return (baseSlots - loans.lentSlots + loans.usableSlots(loanLifetime) + expired - inFlight).coerceIn(0, held)
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

    fun onLoadReported(
        reported: Double,
        now: TimeMark,
    ) {
        load = reported.coerceIn(0.0, 1.0)
        loadReportedAt = now
    }

    /**
     * Own requests in flight per slot, plus the reported load, whose weight halves with each [halfLife]. Lower is
     * better.
     */
    fun score(
        loanLifetime: Duration,
        halfLife: Duration,
    ): Double {
        val own = inFlight.toDouble() / capacity(loanLifetime).coerceAtLeast(1)
        val age = loadReportedAt?.elapsedNow() ?: return own
        return own + load * HALF.pow(age.toDouble(DurationUnit.SECONDS) / halfLife.toDouble(DurationUnit.SECONDS))
    }

    /** The number of peers with a reservation before that of [borrower], or of all peers when it has none. */
    private fun reservedBefore(borrower: Incarnation?): Int {
        reservations.values.removeAll { it.hasPassedNow() }
        return reservations.keys.takeWhile { it != borrower }.size
    }

    private data class ShareInputs(
        val maxInFlight: Int,
        val seat: Int?,
        val maxRouters: Int,
    )

    private companion object {
        const val HALF = 0.5
    }
}
