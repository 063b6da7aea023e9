package io.limpetfold.budget.loan

import io.limpetfold.budget.Reservation
import io.limpetfold.core.Incarnation
import kotlinx.coroutines.sync.Mutex

/**
 * The state of one loan at its lender: reservations of the lender's account, settled in the order in which they were
 * lent.
 *
 * Lent tokens stay reserved until the borrower reports them as spent or returned, so the lender's ledger entry covers
 * them when either process is killed. Guarded by [mutex].
 *
 * @property heardAtMillis when the borrower last sent a request for the loan, or was last asked about it.
 */
internal class Loan(
    val borrower: Incarnation,
    val number: Long,
    @Volatile var heardAtMillis: Long,
) {
    val mutex = Mutex()
    private val open = ArrayDeque<Reservation>()
    private var closedTokens = 0L
    private var chargedTokens = 0L

    /** The total lent. */
    var lentTokens = 0L
        private set

    /** Whether the borrower has reported all lent tokens as spent or returned. */
    val isClosed: Boolean get() = open.isEmpty()

    /** Adds a [reservation] made for the borrower. */
    fun lend(reservation: Reservation) {
        open += reservation
        lentTokens += reservation.tokens
    }

    /**
     * Applies the borrower's totals and returns the charges that they complete; the totals of a late message complete
     * none.
     */
    fun applyReport(
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

    /** Ends the loan of a borrower whose process was replaced: unreported tokens count as spent. */
    fun writeOff(): List<Charge> = open.map { Charge(it, it.tokens) }.also { open.clear() }

    /**
     * Ends a loan that its borrower no longer has. The borrower reports all tokens that it got before it drops a loan,
     * so the others are unspent.
     */
    fun release(): List<Charge> = open.map { Charge(it, 0) }.also { open.clear() }

    /** The [tokens] to charge when [reservation] is settled. */
    class Charge(
        val reservation: Reservation,
        val tokens: Long,
    )
}
