package io.limpetfold.platform

import kotlinx.serialization.Serializable

/** An object in a listing as the platform sends it; [value] is the stored text. */
@Serializable
internal data class WireObject(
    val key: String,
    val version: Long,
    val value: String,
)
