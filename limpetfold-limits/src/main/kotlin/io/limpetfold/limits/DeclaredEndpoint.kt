package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId

/**
 * An endpoint as the configuration and the platform's instance list declare it.
 *
 * @property maxInFlight maximum number of requests in flight at the endpoint, over all routers.
 * @property isLeaving whether the platform's list shows the endpoint as leaving.
 */
data class DeclaredEndpoint(
    val endpoint: EndpointId,
    val zone: ZoneId,
    val maxInFlight: Int,
    val isLeaving: Boolean = false,
)
