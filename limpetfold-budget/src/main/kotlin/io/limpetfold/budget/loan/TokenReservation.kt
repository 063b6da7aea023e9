package io.limpetfold.budget.loan

import io.limpetfold.budget.Reservation
import io.limpetfold.core.WorkspaceId

/** Tokens set aside for one run of a request; settle it exactly once, also when the request fails. */
sealed interface TokenReservation {
    /** Tokens of an account that this router has in the ledger. */
    data class Own(
        val accountReservation: Reservation,
    ) : TokenReservation

    /**
     * Tokens that another router has lent.
     *
     * @property loan the number of the loan.
     * @property number identifies the reservation within its loan.
     */
    data class Borrowed(
        val workspace: WorkspaceId,
        val loan: Long,
        val number: Long,
    ) : TokenReservation
}
