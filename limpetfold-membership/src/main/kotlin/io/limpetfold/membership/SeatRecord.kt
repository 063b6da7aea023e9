package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The stored form of one seat.
 *
 * @property holder the incarnation that holds the seat; null when it is free.
 * @property wasDrained whether no earlier holder can still use slots of the seat: nobody held it before, or its last holder released it with
 *   nothing lent.
 */
@Serializable
data class SeatRecord(
    val holder: Incarnation?,
    @SerialName("isUnused")
    val wasDrained: Boolean,
)
