package io.limpetfold.limits

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import kotlin.time.Duration
import kotlin.time.TimeMark

/**
 * The loans of one endpoint's slots, as cumulative totals for each pair of routers; not safe for concurrent use.
 *
 * A lender counts a slot as lent before it replies, and as returned only when the borrower's returned total includes
 * it or the borrower's incarnation has ended. A received total replaces a known one only when it is larger, so lost,
 * repeated and late messages are harmless. At any time the slots that borrowers hold are at most those that lenders
 * count as lent.
 */
internal class EndpointLoans {
    class Lent {
        var lentTotal = 0L
        var returnedTotal = 0L
        val outstanding: Int get() = (lentTotal - returnedTotal).toInt()
    }

    /**
     * @property confirmedAt when the latest request that the lender confirmed was sent, or null before the first one.
     */
    class Borrowed {
        var receivedTotal = 0L
        var returnedTotal = 0L
        var confirmedAt: TimeMark? = null
        val held: Int get() = (receivedTotal - returnedTotal).toInt()
    }

    val lent = HashMap<Incarnation, Lent>()
    val borrowed = HashMap<SeatTenure, Borrowed>()

    /**
     * The newest tenure seen of each lender. A late reply of an earlier tenure must not restore its loan, because the
     * total returned to that tenure has been discarded.
     */
    private val newestTenures = HashMap<InstanceId, SeatTenure>()

    val lentSlots: Int get() = lent.values.sumOf { it.outstanding }

    /** All borrowed slots that were not returned, including those of expired loans. */
    val borrowedSlots: Int get() = borrowed.values.sumOf { it.held }

    /** Borrowed slots on which requests may be started: those of loans confirmed within [loanLifetime]. */
    fun usableSlots(loanLifetime: Duration): Int =
        borrowed.entries.sumOf { (lender, loan) -> if (isUsable(lender, loanLifetime)) loan.held else 0 }

    fun isUsable(
        lender: SeatTenure,
        loanLifetime: Duration,
    ): Boolean = borrowed[lender]?.confirmedAt.isWithin(loanLifetime)

    /** Discards what was lent in an earlier tenure; those loans can no longer be confirmed and expire. */
    fun forgetLent() = lent.clear()

    /** Counts all slots lent to [ended] as returned. */
    fun endBorrower(ended: Incarnation) {
        lent -= ended
    }

    /** Records the totals that [borrower] reports about slots lent in this router's current tenure. */
    fun onReported(
        borrower: Incarnation,
        report: LoanReport,
    ) {
        val entry = lent[borrower] ?: return
        val returned = report.returnedTotal.coerceAtMost(entry.lentTotal)
        entry.returnedTotal = maxOf(entry.returnedTotal, returned)
    }

    /**
     * Lends up to [idle] slots and returns the new cumulative total.
     *
     * Lends nothing more while the borrower has not received the earlier grants, because a reply may have been lost.
     */
    fun lend(
        borrower: Incarnation,
        report: LoanReport,
        idle: Int,
        isTenureKnown: Boolean,
    ): Long {
        val entry = lent.getOrPut(borrower, ::Lent)
        val isLastGrantReceived = entry.lentTotal == (if (isTenureKnown) report.receivedTotal else 0L)
        if (isLastGrantReceived) entry.lentTotal += minOf(report.wanted, idle).coerceAtLeast(0)
        return entry.lentTotal
    }

    /**
     * Records the cumulative total that [lender] has lent, as confirmed by the reply to a request sent at
     * [requestedAt].
     */
    fun onGranted(
        lender: SeatTenure,
        lentTotal: Long,
        requestedAt: TimeMark,
    ) {
        val known = newestTenures[lender.holder.instance]
        if (known != null && known.isAfter(lender)) return
        newestTenures[lender.holder.instance] = lender
        borrowed.keys.removeAll { lender.isAfter(it) }
        if (lentTotal == 0L && lender !in borrowed) return
        val loan = borrowed.getOrPut(lender, ::Borrowed)
        loan.receivedTotal = maxOf(loan.receivedTotal, lentTotal)
        val confirmedAt = loan.confirmedAt
        if (confirmedAt == null || confirmedAt.elapsedNow() > requestedAt.elapsedNow()) loan.confirmedAt = requestedAt
    }

    /** Returns up to [slots] borrowed slots to [lender], and returns how many. */
    fun returnSlots(
        lender: SeatTenure,
        slots: Int,
    ): Int {
        val loan = borrowed[lender] ?: return 0
        val count = slots.coerceIn(0, loan.held)
        loan.returnedTotal += count
        return count
    }

    private fun TimeMark?.isWithin(lifetime: Duration): Boolean = this != null && elapsedNow() < lifetime
}
