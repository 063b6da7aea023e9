package io.limpetfold.budget.loan

import io.limpetfold.budget.Reservation
import io.limpetfold.core.Incarnation
import kotlinx.coroutines.sync.Mutex

/**
 * One loan as its lender counts it: reservations of the lender's account, closed in the order in which they were lent.
 *
 * What is lent stays reserved until the borrower has spent it or given it back, so the lender's ledger entry covers it however either ends.
 * Guarded by [access].
 */
internal class Loan(
    val borrower: Incarnation,
    val number: Long,
) {
    val access = Mutex()
    private val open = ArrayDeque<Reservation>()
    private var closedTokens = 0L
    private var chargedTokens = 0L

    /** The total lent. */
    var lentTokens = 0L
        private set

    /** Whether the borrower has accounted for all that was lent. */
    val isClosed: Boolean get() = open.isEmpty()

    /** Adds what was reserved for the borrower. */
    fun lend(reservation: Reservation) {
        open += reservation
        lentTokens += reservation.tokens
    }

    /** Takes over the borrower's totals and returns what they close; those of a late message close nothing. */
    fun report(
        spentTokens: Long,
        returnedTokens: Long,
    ): List<Charge> {
        val closed = mutableListOf<Charge>()
        while (open.isNotEmpty() && closedTokens + open.first().tokens <= spentTokens + returnedTokens) {
            val reservation = open.removeFirst()
            val tokens = (spentTokens - chargedTokens).coerceIn(0, reservation.tokens)
            closedTokens += reservation.tokens
            chargedTokens += tokens
            closed += Charge(reservation, tokens)
        }
        return closed
    }

    /** Ends the loan: what is still out counts as spent, because nobody tells any more. */
    fun writeOff(): List<Charge> = open.map { Charge(it, it.tokens) }.also { open.clear() }

    /** What a closed [reservation] is settled with. */
    class Charge(
        val reservation: Reservation,
        val tokens: Long,
    )
}
