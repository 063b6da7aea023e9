package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Lends idle slots to peers and borrows from them: what to ask, how to answer and what an answer changes.
 *
 * Not safe for concurrent use; [EndpointLimiter] calls it under its lock and carries the messages.
 *
 * @param states the endpoints by identity, shared with the limiter.
 */
internal class LoanExchange(
    private val self: Incarnation,
    private val states: Map<EndpointId, EndpointState>,
    private val timeSource: TimeSource,
    private val policy: LimitPolicy,
    private val listener: LimitListener,
) {
    private val newest = HashMap<InstanceId, Incarnation>()
    private val loanLife = policy.loanLife.toKotlinDuration()
    private var tenureNumber = 0

    /** The seat whose slots may be lent, or null. */
    var seat: Int? = null
        private set

    /** Whether nothing is lent any more and all borrowed slots go back. */
    var isClosed = false

    /** Ends all loans of the earlier seat. */
    fun startTenure(seat: Int?) {
        this.seat = seat
        tenureNumber++
        states.values.forEach { it.loans.startTenure() }
    }

    /** What to tell [peer]: the loans it gave, and [wanted] further slots; null when there is nothing to say. */
    fun request(
        peer: InstanceId,
        wanted: Map<EndpointId, Int>,
    ): LoanRequest? {
        val asks = states.values.mapNotNull { askOf(it, peer, wanted[it.endpoint] ?: 0) }
        return if (asks.isEmpty()) null else LoanRequest(asks)
    }

    /** Gives idle borrowed slots back and returns all lenders, which are to be told. */
    fun returnIdle(): Set<InstanceId> {
        states.values.forEach(::returnIdle)
        return states.values
            .flatMap { it.loans.borrowed.keys }
            .map { it.holder.instance }
            .toSet()
    }

    private fun askOf(
        state: EndpointState,
        peer: InstanceId,
        wanted: Int,
    ): LoanAsk? {
        val loan = state.loans.borrowed.entries.firstOrNull { it.key.holder.instance == peer }
        if (loan == null && wanted == 0) return null
        return LoanAsk(
            endpoint = state.endpoint,
            wanted = wanted,
            isWithoutSlots = wanted > 0 && state.capacity(loanLife) == 0,
            lender = loan?.key,
            receivedTotal = loan?.value?.receivedTotal ?: 0,
            returnedTotal = loan?.value?.returnedTotal ?: 0,
        )
    }

    fun onReply(
        reply: LoanReply,
        asked: TimeMark,
    ) {
        for (report in reply.returned) onReported(reply.answeredBy, report)
        for (grant in reply.grants) {
            val state = states[grant.endpoint] ?: continue
            if (reply.lender != null) state.onGranted(reply.lender, grant.lentTotal, asked)
        }
    }

    /** A null tenure in the answer confirms nothing, so earlier loans run out. */
    fun answer(
        from: Incarnation,
        message: LoanRequest,
        toNotify: MutableSet<InstanceId>,
    ): LoanReply {
        if (!isNewest(from)) return LoanReply(self, null, emptyList())
        val tenure = if (seat == null) null else tenure()
        val grants = mutableListOf<LoanGrant>()
        val returned = mutableListOf<LoanAsk>()
        for (ask in message.asks) {
            val state = states[ask.endpoint] ?: continue
            onReported(from, ask)
            if (ask.isWithoutSlots) giveBackFor(state, from)?.let { toNotify += it }
            reportTo(state, from)?.let { returned += it }
            if (tenure != null) grants += LoanGrant(ask.endpoint, lend(state, from, ask))
        }
        return LoanReply(self, tenure, grants, returned)
    }

    private fun tenure() = SeatTenure(self, tenureNumber)

    private fun onReported(
        from: Incarnation,
        report: LoanAsk,
    ) {
        if (report.lender == tenure()) states[report.endpoint]?.loans?.onReported(from, report)
    }

    private fun lend(
        state: EndpointState,
        from: Incarnation,
        ask: LoanAsk,
    ): Long {
        val idle = if (isClosed) 0 else state.idleFor(from, loanLife)
        val offered = maxOf(idle / 2, if (ask.isWithoutSlots || isUnused(state)) idle.coerceAtMost(1) else 0)
        val before = state.loans.lent[from]?.lentTotal ?: 0
        val total = state.loans.lend(from, ask, offered, isTenureKnown = ask.lender == tenure())
        if (total > before) {
            state.onReservationUsed(from)
            listener.onLent(state.endpoint, from.instance, (total - before).toInt())
        } else if (ask.isWithoutSlots && idle == 0 && state.base > 0) {
            reserveNext(state, from)
        }
        return total
    }

    /** With one slot for each router, half of the idle slots is none: the last one is lent only when it was not needed lately. */
    private fun isUnused(state: EndpointState): Boolean =
        state.lastUsed?.let { it.elapsedNow() >= policy.lendLastAfter.toKotlinDuration() } ?: true

    private fun reserveNext(
        state: EndpointState,
        peer: Incarnation,
    ) = state.reserveNext(peer, timeSource.markNow() + policy.reservationLife.toKotlinDuration())

    /** Returns what this router holds from [lender], or null when it borrowed nothing from it. */
    private fun reportTo(
        state: EndpointState,
        lender: Incarnation,
    ): LoanAsk? {
        val loan = state.loans.borrowed.entries.firstOrNull { it.key.holder == lender } ?: return null
        return LoanAsk(
            state.endpoint,
            lender = loan.key,
            receivedTotal = loan.value.receivedTotal,
            returnedTotal = loan.value.returnedTotal,
        )
    }

    /**
     * Gives a borrowed slot back to its lender because [asker] has no slot at all, or reservations the next idle one.
     *
     * Without this a busy borrower would keep its loan for ever. The lender keeps the slot for the asker, which asked it
     * too. Returns the lender, or null when nothing was given back.
     */
    private fun giveBackFor(
        state: EndpointState,
        asker: Incarnation,
    ): InstanceId? {
        val loans = state.loans.borrowed.filterValues { it.held > 0 }.keys
        val lender = loans.firstOrNull { it.holder == asker } ?: loans.firstOrNull() ?: return null
        if (state.loans.giveBack(lender, minOf(1, state.returnable(lender, loanLife))) == 0) {
            reserveNext(state, asker)
            return null
        }
        state.onReservationUsed(asker)
        return lender.holder.instance
    }

    /** A newer incarnation of an instance proves that the older one ended; late messages of the older one are ignored. */
    private fun isNewest(from: Incarnation): Boolean {
        val known = newest[from.instance]
        if (known != null && known.number > from.number) return false
        if (known != null && known.number < from.number) endBorrower(known)
        newest[from.instance] = from
        return true
    }

    fun endBorrower(ended: Incarnation) =
        states.values.forEach {
            it.loans.endBorrower(ended)
            it.dropReservation(ended)
        }

    private fun returnIdle(state: EndpointState) {
        val isIdle = state.lastUsed?.let { it.elapsedNow() >= policy.idleBeforeReturn.toKotlinDuration() } ?: true
        if (!isIdle && !isClosed) return
        for (lender in state.loans.borrowed.keys.toList()) state.loans.giveBack(lender, state.returnable(lender, loanLife))
    }
}
