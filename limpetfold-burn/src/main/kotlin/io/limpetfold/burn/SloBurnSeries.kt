package io.limpetfold.burn

import kotlinx.serialization.Serializable

/** The buckets of one route and workspace, oldest first. */
@Serializable
data class SloBurnSeries(
    val route: String,
    val workspace: String,
    val buckets: List<SloBurnBucket>,
)
