package io.limpetfold.budget.loan

import io.limpetfold.budget.DemandRate
import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId
import kotlinx.coroutines.sync.Mutex

/** The loans of this router for one workspace; all fields are guarded by the slot's monitor. */
internal class BorrowerSlot(
    val workspace: WorkspaceId,
) {
    /** Serialises requests to lenders, so that concurrent callers share a response. */
    val mutex = Mutex()

    private val loans = LinkedHashMap<Long, BorrowedTokens>()
    private var demand = DemandRate()
    private var usedAtMillis = 0L
    private var shortage: Shortage? = null
    private var isEvicted = false

    /** Records a use, which delays eviction; returns false when the slot was evicted before. */
    @Synchronized
    fun enter(nowMillis: Long): Boolean {
        if (!isEvicted) usedAtMillis = nowMillis
        return !isEvicted
    }

    /** Evicts the slot if it has no loans and was not used for [evictAfterMillis]; returns whether it is evicted. */
    @Synchronized
    fun evict(
        nowMillis: Long,
        evictAfterMillis: Long,
    ): Boolean {
        if (loans.isEmpty() && nowMillis - usedAtMillis >= evictAfterMillis) isEvicted = true
        return isEvicted
    }

    /** Adds [tokens] to the demand and returns the tokens that the demand needs for the horizon of [policy]. */
    @Synchronized
    fun recordDemand(
        tokens: Long,
        nowMillis: Long,
        policy: LoanPolicy,
    ): Long {
        demand = demand.plus(tokens, nowMillis, policy.demandWindow.toMillis())
        return demand.tokensFor(policy.horizon)
    }

    /** Reserves [tokens] of the oldest loan that has enough; null when none has. */
    @Synchronized
    fun reserve(tokens: Long): TokenReservation.Borrowed? {
        for ((number, loan) in loans) {
            val after = loan.reserve(tokens) ?: continue
            loans[number] = after
            return TokenReservation.Borrowed(workspace, number, loan.nextReservation)
        }
        return null
    }

    @Synchronized
    fun recordShortage(shortage: Shortage) {
        this.shortage = shortage
    }

    /** The recorded shortage if it applies to a request for [tokens] now; null when lenders may have enough. */
    @Synchronized
    fun shortageOf(
        tokens: Long,
        nowMillis: Long,
    ): Shortage? = shortage?.takeIf { tokens >= it.tokens && nowMillis < it.untilMillis }

    /** Charges [usedTokens] to the loan of [reservation] and releases the rest. */
    @Synchronized
    fun settle(
        reservation: TokenReservation.Borrowed,
        usedTokens: Long,
        nowMillis: Long,
    ) {
        usedAtMillis = nowMillis
        change(reservation.loan) { it.settle(reservation.number, usedTokens) }
    }

    /** The open loan of [lender], or a new one numbered by [nextNumber]; null when the slot was evicted. */
    @Synchronized
    fun loanOf(
        lender: InstanceId,
        nextNumber: () -> Long,
    ): BorrowedTokens? {
        if (isEvicted) return null
        return loans.values.lastOrNull { it.lender == lender && !it.isEnded }
            // The response is missing from the start, so that the loan is not dropped before its first request.
            ?: BorrowedTokens(lender, nextNumber(), isResponseMissing = true).also { loans[it.number] = it }
    }

    /** Whether tokens of the loan with [number] may still be spent or credited. */
    @Synchronized
    fun hasLoan(number: Long): Boolean = number in loans

    /** The loan with [number] if its totals must be reported to its lender. */
    @Synchronized
    fun unreportedLoan(number: Long): BorrowedTokens? = loans[number]?.takeIf { !it.isEnded && it.isSyncNeeded }

    /** Applies [transform] to the loan with [number], if it exists. */
    @Synchronized
    fun change(
        number: Long,
        transform: (BorrowedTokens) -> BorrowedTokens,
    ) {
        loans[number] = transform(loans[number] ?: return)
    }

    /**
     * Returns the available tokens of all loans if the slot was not used for [idleMillis], and of all loans but the
     * newest in any case: a newer loan shows that an older one has too few tokens for a call. Drops completed loans.
     *
     * @return the numbers of the loans whose totals must be reported to their lenders, or may be unknown here.
     */
    @Synchronized
    fun returnIdle(
        nowMillis: Long,
        idleMillis: Long,
    ): List<Long> {
        val isIdle = nowMillis - usedAtMillis >= idleMillis
        val newest = loans.keys.lastOrNull()
        val returned = loans.filterKeys { isIdle || it != newest }.mapValues { it.value.returnAvailable() }
        loans += returned
        loans.values.removeIf { it.isDone }
        return loans.values
            .filter { !it.isEnded && (it.isResponseMissing || it.number in returned && it.isSyncNeeded) }
            .map { it.number }
    }
}
