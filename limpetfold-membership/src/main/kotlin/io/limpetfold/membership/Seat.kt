package io.limpetfold.membership

/**
 * A seat that this router holds.
 *
 * @property number from 0 up to, but not including, the configured maximum number of routers.
 * @property wasDrained whether no earlier holder can still use slots of the seat.
 */
data class Seat(
    val number: Int,
    val wasDrained: Boolean,
)
