package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import kotlinx.serialization.Serializable

/**
 * The stored form of one seat.
 *
 * @property holder the incarnation that holds the seat; null when it is free.
 */
@Serializable
data class SeatRecord(
    val holder: Incarnation?,
)
