package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId

/** An endpoint that may serve a request. */
data class EndpointCandidate(
    val endpoint: EndpointId,
    val zone: ZoneId,
)
