package io.limpetfold.limits

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import kotlin.time.Duration
import kotlin.time.TimeMark

/**
 * The loans of one endpoint's slots, as cumulative totals for each pair of routers; not safe for concurrent use.
 *
 * A lender counts a slot as lent before it answers, and counts it back only when the borrower's returned total says so or
 * when the borrower's incarnation has ended. Totals are taken as maxima, so lost, repeated and late messages change
 * nothing twice. At any time the sum that borrowers hold is at most the sum that lenders count as lent.
 */
internal class EndpointLoans {
    class Lent {
        var lentTotal = 0L
        var returnedTotal = 0L
        val outstanding: Int get() = (lentTotal - returnedTotal).toInt()
    }

    /** @property confirmed when the last confirmed ask was sent, or null when the lender no longer vouches for the loan. */
    class Borrowed {
        var receivedTotal = 0L
        var returnedTotal = 0L
        var confirmed: TimeMark? = null
        val held: Int get() = (receivedTotal - returnedTotal).toInt()
    }

    val lent = HashMap<Incarnation, Lent>()
    val borrowed = HashMap<SeatTenure, Borrowed>()

    /**
     * The newest tenure seen of each lender. A late answer of an earlier tenure must not bring its loan back, because what
     * was returned to it is no longer known.
     */
    private val newestTenures = HashMap<InstanceId, SeatTenure>()

    val lentOut: Int get() = lent.values.sumOf { it.outstanding }

    /** All borrowed slots that were not returned, whether or not requests may still be started on them. */
    val held: Int get() = borrowed.values.sumOf { it.held }

    /** Borrowed slots on which requests may be started. */
    fun usable(loanLife: Duration): Int =
        borrowed.entries.sumOf { (lender, loan) -> if (isUsable(lender, loanLife)) loan.held else 0 }

    fun isUsable(
        lender: SeatTenure,
        loanLife: Duration,
    ): Boolean = borrowed[lender]?.confirmed.isWithin(loanLife)

    /** Forgets what was lent in an earlier tenure; those loans can no longer be confirmed. */
    fun startTenure() = lent.clear()

    /** Counts all slots lent to [ended] as returned. */
    fun endBorrower(ended: Incarnation) {
        lent -= ended
    }

    /** Records the totals that [borrower] reports about slots lent in this router's present tenure. */
    fun onReported(
        borrower: Incarnation,
        report: LoanAsk,
    ) {
        val entry = lent[borrower] ?: return
        val returned = report.returnedTotal.coerceAtMost(entry.lentTotal)
        entry.returnedTotal = maxOf(entry.returnedTotal, returned)
    }

    /** Lends up to [idle] slots and returns the new cumulative total. A grant whose answer was lost is not added to. */
    fun lend(
        borrower: Incarnation,
        ask: LoanAsk,
        idle: Int,
        isTenureKnown: Boolean,
    ): Long {
        val entry = lent.getOrPut(borrower, ::Lent)
        val isLastAnswerSeen = entry.lentTotal == (if (isTenureKnown) ask.receivedTotal else 0L)
        if (isLastAnswerSeen) entry.lentTotal += minOf(ask.wanted, idle).coerceAtLeast(0)
        return entry.lentTotal
    }

    /** Credits what [lender] lent in all, as confirmed by the answer to an ask sent at [asked]. */
    fun onGranted(
        lender: SeatTenure,
        lentTotal: Long,
        asked: TimeMark,
    ) {
        val known = newestTenures[lender.holder.instance]
        if (known != null && known.isAfter(lender)) return
        newestTenures[lender.holder.instance] = lender
        borrowed.keys.removeAll { lender.isAfter(it) }
        if (lentTotal == 0L && lender !in borrowed) return
        val loan = borrowed.getOrPut(lender, ::Borrowed)
        loan.receivedTotal = maxOf(loan.receivedTotal, lentTotal)
        val confirmed = loan.confirmed
        if (confirmed == null || confirmed.elapsedNow() > asked.elapsedNow()) loan.confirmed = asked
    }

    /** Gives back up to [slots] slots to [lender] and returns how many. */
    fun giveBack(
        lender: SeatTenure,
        slots: Int,
    ): Int {
        val loan = borrowed[lender] ?: return 0
        val count = slots.coerceIn(0, loan.held)
        loan.returnedTotal += count
        return count
    }

    private fun TimeMark?.isWithin(life: Duration): Boolean = this != null && elapsedNow() < life
}
