package io.limpetfold.budget

/** Why a ledger does not accept a change. */
sealed interface LedgerRefusal {
    val message: String

    /** No top-up has created the ledger. */
    data object UnknownWorkspace : LedgerRefusal {
        override val message get() = "the workspace has no budget; make a first top-up"
    }

    /** The identity was used for another amount. */
    data class TopUpMismatch(
        val id: TopUpId,
        val appliedTokens: Long,
    ) : LedgerRefusal {
        override val message get() = "top-up $id was applied with $appliedTokens tokens; use a new identity for another amount"
    }

    /** The identity is so old that the ledger cannot tell whether it was applied. */
    data class TopUpTooOld(
        val id: TopUpId,
        val forgottenThrough: String,
    ) : LedgerRefusal {
        override val message get() =
            "top-ups dated up to $forgottenThrough are compacted and $id may be one of them; " +
                "compare the paid total, then use an identity with a later date"
    }

    /** One day has more top-ups than the ledger keeps. */
    data class TooManyTopUps(
        val date: String,
    ) : LedgerRefusal {
        override val message get() = "the ledger holds the most top-ups it can for $date; combine amounts or date the next one later"
    }

    /** The ledger would exceed the size the platform holds. */
    data object TooManyHolders : LedgerRefusal {
        override val message get() = "the ledger has its full number of holders; reclaim the stranded ones"
    }

    /** The incarnation's entry was closed or reclaimed; it must not spend. */
    data class HolderEnded(
        val holder: String,
    ) : LedgerRefusal {
        override val message get() = "the entry of $holder was closed or reclaimed; restart the router as a new incarnation"
    }

    /** The ledger has no entry of the holder. */
    data class UnknownHolder(
        val holder: String,
    ) : LedgerRefusal {
        override val message get() = "$holder holds no grant; check the holder in the stranded list, it may be closed already"
    }
}
