package io.limpetfold.budget.loan

import io.limpetfold.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The state of one loan at its borrower.
 *
 * @property lentTokens the total lent, as last seen.
 * @property returnedTokens the total returned; deducted here before it is reported to the lender.
 * @property reservations tokens by reservation number.
 * @property isEnded whether the lender no longer has the loan; the remaining tokens can still be spent, because the
 * lender's ledger entry covers them.
 * @property acknowledgedTokens the highest sum of spent and returned tokens that the lender has acknowledged.
 * @property isResponseMissing whether the last request got no response, so that the lender may have lent more than
 * [lentTokens].
 */
internal data class BorrowedTokens(
    val lender: InstanceId,
    val number: Long,
    val lentTokens: Long = 0,
    val spentTokens: Long = 0,
    val returnedTokens: Long = 0,
    val reservations: PersistentMap<Long, Long> = persistentMapOf(),
    val nextReservation: Long = 1,
    val isEnded: Boolean = false,
    val acknowledgedTokens: Long = 0,
    val isResponseMissing: Boolean = false,
) {
    private val reservedTokens: Long get() = reservations.values.sum()

    val availableTokens: Long get() = lentTokens - spentTokens - returnedTokens - reservedTokens

    /** Whether the loan can be dropped: no tokens or reservations are left, and no totals are to be exchanged. */
    val isDone: Boolean get() = reservations.isEmpty() && availableTokens == 0L && (isEnded || !isSyncNeeded)

    /** Whether the lender or this router may not have the last totals of the other. */
    val isSyncNeeded: Boolean get() = isResponseMissing || acknowledgedTokens < spentTokens + returnedTokens

    /** Reserves [tokens] under [nextReservation], or returns null when they are not available. */
    fun reserve(tokens: Long): BorrowedTokens? {
        if (tokens > availableTokens) return null
        return copy(reservations = reservations.put(nextReservation, tokens), nextReservation = nextReservation + 1)
    }

    /**
     * Charges [usedTokens], at most the reserved tokens, and releases the rest; returns this loan when [reservation] is
     * settled.
     */
    fun settle(
        reservation: Long,
        usedTokens: Long,
    ): BorrowedTokens {
        val tokens = reservations[reservation] ?: return this
        return copy(
            reservations = reservations.remove(reservation),
            spentTokens =
                spentTokens + usedTokens.coerceIn(0, tokens),
        )
    }

    /** Returns all available tokens. */
    fun returnAvailable(): BorrowedTokens = copy(returnedTokens = returnedTokens + availableTokens)

    /** Applies the total from the response to a request that reported [reportedTokens] as spent or returned. */
    fun withReply(
        totalTokens: Long,
        reportedTokens: Long,
    ): BorrowedTokens =
        copy(
            lentTokens = maxOf(lentTokens, totalTokens),
            acknowledgedTokens = maxOf(acknowledgedTokens, reportedTokens),
            isResponseMissing = false,
        )
}
