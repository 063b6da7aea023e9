package io.limpetfold.rollout.timed

import io.limpetfold.core.VersionId
import kotlinx.serialization.Serializable

/** One version of one service. */
@Serializable
data class ServiceVersion(
    val service: String,
    val version: VersionId,
)
