package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId

/**
 * An endpoint as configuration and the platform's list declare it.
 *
 * @property maxInFlight requests that the endpoint holds at once, over all routers.
 * @property isLeaving the platform's list shows it as leaving.
 */
data class DeclaredEndpoint(
    val endpoint: EndpointId,
    val zone: ZoneId,
    val maxInFlight: Int,
    val isLeaving: Boolean = false,
)
