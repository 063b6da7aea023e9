package io.limpetfold.budget

/** The reason why a ledger refuses a change. */
sealed interface LedgerRefusal {
    val message: String

    /** The ledger does not exist: it is created by the first top-up. */
    data object UnknownWorkspace : LedgerRefusal {
        override val message get() = "the workspace has no budget; make a first top-up"
    }

    /** The identity was applied with another amount. */
    data class TopUpMismatch(
        val id: TopUpId,
        val appliedTokens: Long,
    ) : LedgerRefusal {
        override val message
            get() =
                "top-up $id was already applied with $appliedTokens tokens; use a new identity for another amount"
    }

    /** The identity is so old that the ledger cannot tell whether it was applied. */
    data class TopUpTooOld(
        val id: TopUpId,
        val forgottenThrough: String,
    ) : LedgerRefusal {
        override val message get() =
            "top-up $id may already be applied: identities dated up to $forgottenThrough are no longer kept; " +
                "compare the paid total, then use an identity with a later date"
    }

    /** The ledger is full, and the top-up is dated on its oldest day, whose identities would be dropped. */
    data class TooManyTopUps(
        val date: String,
    ) : LedgerRefusal {
        override val message
            get() =
                "the ledger has the maximum number of top-ups and $date is its oldest date; combine amounts or use a later date"
    }

    /** The ledger has [BudgetLedger.MAX_HOLDERS] entries; more could exceed the object size limit of the platform. */
    data object TooManyHolders : LedgerRefusal {
        override val message get() = "the ledger has the maximum number of holders; reclaim the stranded ones"
    }

    /** The holder's entry was closed or reclaimed, so the holder must not spend. */
    data class HolderEnded(
        val holder: String,
    ) : LedgerRefusal {
        override val message
            get() =
                "the ledger entry of $holder was closed or reclaimed; restart the router as a new incarnation"
    }

    /** The ledger has no entry of the holder. */
    data class UnknownHolder(
        val holder: String,
    ) : LedgerRefusal {
        override val message
            get() =
                "the ledger has no entry of $holder; check the list of stranded grants, the entry may be closed already"
    }
}
