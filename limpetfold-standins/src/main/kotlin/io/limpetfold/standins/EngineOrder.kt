package io.limpetfold.standins

import kotlinx.serialization.Serializable

/** An order to an engine, with the fencing number of its sender. */
@Serializable
data class EngineOrder(
    val order: String,
    val fencing: Long,
)
