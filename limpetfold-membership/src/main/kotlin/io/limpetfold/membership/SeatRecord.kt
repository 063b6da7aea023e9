package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The stored value of one seat.
 *
 * @property holder the incarnation that holds the seat; null when it is free.
 * @property wasDrained whether no earlier holder can still use slots of the seat: either it was never held before, or
 * its last holder released it with no slot lent or in use.
 * @property era the era of the store in which the write was based; in another era the holder may be another one.
 */
@Serializable
data class SeatRecord(
    val holder: Incarnation?,
    @SerialName("isUnused")
    val wasDrained: Boolean,
    val era: Long = 0,
)
