package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * The protocol by which routers lend idle slots to each other: builds loan requests, responds to those of peers and
 * applies replies.
 *
 * Not safe for concurrent use; [EndpointLimiter] calls it under its lock and transports the messages.
 *
 * @param states the state of each endpoint, shared with the limiter.
 */
internal class LoanExchange(
    private val self: Incarnation,
    private val states: Map<EndpointId, EndpointState>,
    private val timeSource: TimeSource,
    private val policy: LimitPolicy,
    private val listener: LimitListener,
) {
    private val newestIncarnations = HashMap<InstanceId, Incarnation>()
    private val loanLifetime = policy.loanLifetime.toKotlinDuration()
    private var tenureNumber = 0

    /** The seat of this router, whose slots may be lent, or null when it has none. */
    var seat: Int? = null
        private set

    /** Whether this router has stopped lending and returns all borrowed slots that no request uses. */
    var isClosed = false

    /** Starts a new tenure with [seat], which ends all loans given in the earlier one. */
    fun changeSeat(seat: Int?) {
        this.seat = seat
        tenureNumber++
        states.values.forEach { it.loans.forgetLent() }
    }

    /**
     * Returns a request to [peer] that reports the loans received from it and asks for [wanted] further slots, or null
     * when there are no loans and no slots are wanted.
     */
    fun request(
        peer: InstanceId,
        wanted: Map<EndpointId, Int>,
    ): LoanRequest? {
        val reports = states.values.mapNotNull { reportFor(it, peer, wanted[it.endpoint] ?: 0) }
        return if (reports.isEmpty()) null else LoanRequest(reports)
    }

    /** Returns idle borrowed slots, and lists the instances of all lenders, to which the new totals must be sent. */
    fun returnIdle(): Set<InstanceId> {
        states.values.forEach(::returnIdle)
        return states.values
            .flatMap { it.loans.borrowed.keys }
            .map { it.holder.instance }
            .toSet()
    }

    private fun reportFor(
        state: EndpointState,
        peer: InstanceId,
        wanted: Int,
    ): LoanReport? {
        val loan =
            state.loans.borrowed.entries
                .firstOrNull { it.key.holder.instance == peer }
        if (loan == null && wanted == 0) return null
        return LoanReport(
            endpoint = state.endpoint,
            wanted = wanted,
            isWithoutSlots = wanted > 0 && state.capacity(loanLifetime) == 0,
            lender = loan?.key,
            receivedTotal = loan?.value?.receivedTotal ?: 0,
            returnedTotal = loan?.value?.returnedTotal ?: 0,
        )
    }

    fun onReply(
        reply: LoanReply,
        requestedAt: TimeMark,
    ) {
        for (report in reply.returned) onReported(reply.answeredBy, report)
        for (grant in reply.grants) {
            val state = states[grant.endpoint] ?: continue
            if (reply.lender != null) state.onGranted(reply.lender, grant.lentTotal, requestedAt)
        }
    }

    /**
     * Returns the reply to [message] and adds to [toNotify] the lenders to which slots were returned.
     *
     * A null tenure in the reply confirms no loan, so earlier loans expire.
     */
    fun respond(
        from: Incarnation,
        message: LoanRequest,
        toNotify: MutableSet<InstanceId>,
    ): LoanReply {
        if (!isNewest(from)) return LoanReply(self, null, emptyList())
        val tenure = if (seat == null) null else currentTenure()
        val grants = mutableListOf<LoanGrant>()
        val returned = mutableListOf<LoanReport>()
        for (report in message.reports) {
            val state = states[report.endpoint] ?: continue
            onReported(from, report)
            if (report.isWithoutSlots) returnSlotFor(state, from)?.let { toNotify += it }
            borrowedReport(state, from)?.let { returned += it }
            if (tenure != null) grants += LoanGrant(report.endpoint, lend(state, from, report))
        }
        return LoanReply(self, tenure, grants, returned)
    }

    private fun currentTenure() = SeatTenure(self, tenureNumber)

    private fun onReported(
        from: Incarnation,
        report: LoanReport,
    ) {
        if (report.lender == currentTenure()) states[report.endpoint]?.loans?.onReported(from, report)
    }

    private fun lend(
        state: EndpointState,
        from: Incarnation,
        report: LoanReport,
    ): Long {
        val idle = if (isClosed) 0 else state.idleFor(from, loanLifetime)
        val offered =
            maxOf(
                idle / 2,
                if (report.isWithoutSlots ||
                    isLastSlotLendable(state)
                ) {
                    idle.coerceAtMost(1)
                } else {
                    0
                },
            )
        val before = state.loans.lent[from]?.lentTotal ?: 0
        val total = state.loans.lend(from, report, offered, isTenureKnown = report.lender == currentTenure())
        if (total > before) {
            state.onReservationUsed(from)
            listener.onLent(state.endpoint, from.instance, (total - before).toInt())
        } else if (report.isWithoutSlots && idle == 0 && state.baseSlots > 0) {
            reserveNext(state, from)
        }
        return total
    }

    /**
     * Whether the last idle slot may be lent: this router has not used the endpoint for [LimitPolicy.lastSlotIdleTime].
     *
     * Normally half of the idle slots are lent, which is none when only one slot is idle.
     */
    private fun isLastSlotLendable(state: EndpointState): Boolean =
        state.lastUsedAt?.let { it.elapsedNow() >= policy.lastSlotIdleTime.toKotlinDuration() } ?: true

    private fun reserveNext(
        state: EndpointState,
        peer: Incarnation,
    ) = state.reserveNext(peer, timeSource.markNow() + policy.reservationLifetime.toKotlinDuration())

    /** Returns the totals of the loan from [lender], or null when this router has no loan from it. */
    private fun borrowedReport(
        state: EndpointState,
        lender: Incarnation,
    ): LoanReport? {
        val loan =
            state.loans.borrowed.entries
                .firstOrNull { it.key.holder == lender } ?: return null
        return LoanReport(
            state.endpoint,
            lender = loan.key,
            receivedTotal = loan.value.receivedTotal,
            returnedTotal = loan.value.returnedTotal,
        )
    }

    /**
     * Returns a borrowed slot to its lender because [requester] has no slot at all. If none is idle, the next idle
     * slot is reserved for [requester].
     *
     * Without this a busy borrower would keep its loan indefinitely. The lender reserves the slot for the requester,
     * which asks all its peers. Returns the lender, or null when no slot was returned.
     */
    private fun returnSlotFor(
        state: EndpointState,
        requester: Incarnation,
    ): InstanceId? {
        val loans =
            state.loans.borrowed
                .filterValues { it.held > 0 }
                .keys
        val lender = loans.firstOrNull { it.holder == requester } ?: loans.firstOrNull() ?: return null
        if (state.loans.returnSlots(lender, minOf(1, state.returnable(lender, loanLifetime))) == 0) {
            reserveNext(state, requester)
            return null
        }
        state.onReservationUsed(requester)
        return lender.holder.instance
    }

    /**
     * Whether [from] is the newest known incarnation of its instance. A newer incarnation proves that the older one has
     * ended; late messages of the older one are ignored.
     */
    private fun isNewest(from: Incarnation): Boolean {
        val known = newestIncarnations[from.instance]
        if (known != null && known.number > from.number) return false
        if (known != null && known.number < from.number) endBorrower(known)
        newestIncarnations[from.instance] = from
        return true
    }

    fun endBorrower(ended: Incarnation) =
        states.values.forEach {
            it.loans.endBorrower(ended)
            it.dropReservation(ended)
        }

    private fun returnIdle(state: EndpointState) {
        val isIdle = state.lastUsedAt?.let { it.elapsedNow() >= policy.idleBeforeReturn.toKotlinDuration() } ?: true
        if (!isIdle && !isClosed) return
        for (lender in state.loans.borrowed.keys
            .toList()) {
            state.loans.returnSlots(
                lender,
                state.returnable(lender, loanLifetime),
            )
        }
    }
}
