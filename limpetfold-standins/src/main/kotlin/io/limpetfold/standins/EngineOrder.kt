package io.limpetfold.standins

import kotlinx.serialization.Serializable

/** An order to an engine, with the fencing token of its sender; [version] is null when the order concerns no version. */
@Serializable
data class EngineOrder(
    val order: String,
    val fencing: Long,
    val version: String? = null,
)
