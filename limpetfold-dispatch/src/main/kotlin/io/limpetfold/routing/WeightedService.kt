package io.limpetfold.routing

import kotlinx.serialization.Serializable

/** A service that gets a part of a route's calls, in proportion to [weight]. */
@Serializable
data class WeightedService(
    val service: String,
    val weight: Int,
)
