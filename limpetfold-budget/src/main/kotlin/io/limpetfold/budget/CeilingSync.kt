package io.limpetfold.budget

/** Synchronises accounts with their ledgers within their ceilings, and raises ceilings that limit a grant. */
internal class CeilingSync(
    private val ledgerSync: LedgerSync,
    private val announcer: CeilingAnnouncer,
) {
    /**
     * Requests [grantSize] tokens as [LedgerSync.synchronise] does, for a need of [tokens].
     *
     * Raises the ceiling and synchronises once more where the ceiling limited the grant: before the first grant it is
     * not known how large a ceiling the account needs.
     */
    suspend fun synchronise(
        slot: AccountSlot,
        tokens: Long,
        isStaleResultAllowed: Boolean = false,
        grantSize: (account: LocalAccount, balance: LedgerBalance) -> Long,
    ): RefillFailure? {
        announcer.prepare(slot, tokens)
        val first = ledgerSync.synchronise(slot, isStaleResultAllowed, grantSize)
        if (first !is RefillFailure.Insufficient || slot.locked { limitedGrantTokens } == 0L) return first
        val second = if (announcer.announce(slot, tokens)) ledgerSync.synchronise(slot, false, grantSize) else first
        val isLimited = slot.locked { limitedGrantTokens > 0 && account.availableTokens < tokens }
        return if (isLimited && second is RefillFailure.Insufficient) UNACKNOWLEDGED else second
    }

    /** Raises ceilings that the next grants would reach, so that no call has to wait for that. */
    suspend fun raiseLow(slots: Collection<AccountSlot>) =
        slots
            .filter { slot -> slot.locked { account.isOpenInLedger } && announcer.isLow(slot) }
            .sortedBy { it.workspace.value }
            .take(MAX_RAISED)
            .forEach { announcer.announce(it, 0) }

    private companion object {
        /** Bounds the messages of one round of maintenance. */
        const val MAX_RAISED = 8

        /** The budget is not used up, so the caller may ask peers and try again. */
        val UNACKNOWLEDGED = RefillFailure.Unavailable("too few routers have acknowledged the ceiling of the account")
    }
}
