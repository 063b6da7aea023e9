package io.limpetfold.burn

import kotlinx.serialization.Serializable

/** The intervals of one route and workspace, the oldest first. */
@Serializable
data class SloBurnSeries(
    val route: String,
    val workspace: String,
    val buckets: List<SloBurnBucket>,
)
