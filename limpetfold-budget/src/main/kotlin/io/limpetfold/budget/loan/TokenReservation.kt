package io.limpetfold.budget.loan

import io.limpetfold.budget.Reservation
import io.limpetfold.core.WorkspaceId

/** Tokens reserved for one run of a request. It must be settled exactly once, also when the request fails. */
sealed interface TokenReservation {
    /** Tokens of an account of this router. */
    data class Own(
        val accountReservation: Reservation,
    ) : TokenReservation

    /**
     * Tokens lent by another router.
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
