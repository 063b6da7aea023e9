package io.limpetfold.budget.loan

import io.limpetfold.budget.DemandRate
import io.limpetfold.core.InstanceId
import io.limpetfold.core.WorkspaceId
import kotlinx.coroutines.sync.Mutex

/** What this router has borrowed for one workspace; all fields are guarded by the slot's monitor. */
internal class BorrowerSlot(
    val workspace: WorkspaceId,
) {
    /** Lets one request at a time ask for more, so that callers that come together share an answer. */
    val access = Mutex()

    private val loans = LinkedHashMap<Long, BorrowedTokens>()
    private var demand = DemandRate()
    private var usedAtMillis = 0L
    private var shortage: Shortage? = null
    private var isForgotten = false

    /** Notes a use, so that the slot is kept; false when it was forgotten before. */
    @Synchronized
    fun enter(nowMillis: Long): Boolean {
        if (!isForgotten) usedAtMillis = nowMillis
        return !isForgotten
    }

    /** Ends the use of a slot that has no loans and was not used for [forgetMillis]; true when it has. */
    @Synchronized
    fun forget(
        nowMillis: Long,
        forgetMillis: Long,
    ): Boolean {
        if (loans.isEmpty() && nowMillis - usedAtMillis >= forgetMillis) isForgotten = true
        return isForgotten
    }

    /** Counts [tokens] as asked for and returns what lasts for the horizon of [policy] at the demand. */
    @Synchronized
    fun demanded(
        tokens: Long,
        nowMillis: Long,
        policy: LoanPolicy,
    ): Long {
        demand = demand.plus(tokens, nowMillis, policy.demandWindow.toMillis())
        return demand.tokensFor(policy.horizon)
    }

    /** Reserves [tokens] of the oldest loan that has them; null when none has. */
    @Synchronized
    fun reserve(tokens: Long): TokenReservation.Borrowed? {
        for ((number, loan) in loans) {
            val after = loan.reserve(tokens) ?: continue
            loans[number] = after
            return TokenReservation.Borrowed(workspace, number, loan.nextReservation)
        }
        return null
    }

    /** Notes what lenders lacked. */
    @Synchronized
    fun note(shortage: Shortage) {
        this.shortage = shortage
    }

    /** The shortage that another request for [tokens] would only meet again; null when lenders may have them. */
    @Synchronized
    fun shortageOf(
        tokens: Long,
        nowMillis: Long,
    ): Shortage? = shortage?.takeIf { tokens >= it.tokens && nowMillis < it.untilMillis }

    /** Charges [usedTokens] and releases the rest. */
    @Synchronized
    fun settle(
        reservation: TokenReservation.Borrowed,
        usedTokens: Long,
        nowMillis: Long,
    ) {
        usedAtMillis = nowMillis
        change(reservation.loan) { it.settle(reservation.number, usedTokens) }
    }

    /** The open loan of [lender], or a new one under [nextNumber]. */
    @Synchronized
    fun loanOf(
        lender: InstanceId,
        nextNumber: () -> Long,
    ): BorrowedTokens =
        loans.values.lastOrNull { it.lender == lender && !it.isEnded }
            ?: BorrowedTokens(lender, nextNumber()).also { loans[it.number] = it }

    /** Replaces the loan with [number]. */
    @Synchronized
    fun change(
        number: Long,
        transform: (BorrowedTokens) -> BorrowedTokens,
    ) {
        loans[number] = transform(loans[number] ?: return)
    }

    /**
     * Gives back what nobody has used for [idleMillis], and what is left of loans before the newest: it is too little for the calls that went
     * on to another lender. Drops loans that are done with, and returns those whose lenders must be told.
     */
    @Synchronized
    fun returnIdle(
        nowMillis: Long,
        idleMillis: Long,
    ): List<BorrowedTokens> {
        val isIdle = nowMillis - usedAtMillis >= idleMillis
        val newest = loans.keys.lastOrNull()
        val returned = loans.filterKeys { isIdle || it != newest }.mapValues { it.value.returning() }
        loans += returned
        loans.values.removeIf { it.isDone }
        return returned.values.filter { !it.isEnded && it.hasNews }
    }
}
