package io.limpetfold.budget.loan

import io.limpetfold.core.InstanceId
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * One loan as its borrower counts it.
 *
 * @property lentTokens the total lent, as last seen.
 * @property returnedTokens the total given back, lowered here before the lender is told.
 * @property reservations tokens by reservation number.
 * @property isEnded the lender doesn't know the loan any more; what is left can be spent, as the lender's entry covers it.
 * @property toldTokens the sum of spent and returned tokens in the last request that was answered.
 * @property isAnswerMissing the last request had no answer, so the lender may have lent more than is known here.
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
    val toldTokens: Long = 0,
    val isAnswerMissing: Boolean = false,
) {
    private val reservedTokens: Long get() = reservations.values.sum()

    val availableTokens: Long get() = lentTokens - spentTokens - returnedTokens - reservedTokens

    /** Whether nothing is left to spend, to settle, to tell or to hear. */
    val isDone: Boolean get() = reservations.isEmpty() && availableTokens == 0L && (isEnded || !hasNews)

    /** Whether the lender or this router lacks a total of the other. */
    val hasNews: Boolean get() = isAnswerMissing || toldTokens < spentTokens + returnedTokens

    /** Reserves [tokens] under [nextReservation], or returns null when they are not there. */
    fun reserve(tokens: Long): BorrowedTokens? {
        if (tokens > availableTokens) return null
        return copy(reservations = reservations.put(nextReservation, tokens), nextReservation = nextReservation + 1)
    }

    /** Charges [usedTokens], at most the reservation; the same loan when [reservation] is settled. */
    fun settle(
        reservation: Long,
        usedTokens: Long,
    ): BorrowedTokens {
        val tokens = reservations[reservation] ?: return this
        return copy(reservations = reservations.remove(reservation), spentTokens = spentTokens + usedTokens.coerceIn(0, tokens))
    }

    /** Gives back what is available. */
    fun returning(): BorrowedTokens = copy(returnedTokens = returnedTokens + availableTokens)

    /** Takes over the total of an answer to a request that told [told] tokens as spent or returned. */
    fun answered(
        totalTokens: Long,
        told: Long,
    ): BorrowedTokens = copy(lentTokens = maxOf(lentTokens, totalTokens), toldTokens = maxOf(toldTokens, told), isAnswerMissing = false)
}
