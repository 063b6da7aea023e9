package io.limpetfold.config

import io.limpetfold.core.VersionId
import kotlinx.serialization.Serializable

/**
 * A version of a service that may receive traffic.
 *
 * @property maxInFlightPerEndpoint maximum requests in flight at one endpoint, over all routers.
 */
@Serializable
data class ServiceVersion(
    @AllowedPattern(AllowedPattern.NAME)
    val version: VersionId,
    @AllowedRange("1", "100000")
    val maxInFlightPerEndpoint: Int,
)
