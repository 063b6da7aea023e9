package io.limpetfold.dispatch

import io.limpetfold.core.EndpointId

/**
 * A call that needs an endpoint.
 *
 * @property affinityKey calls with the same key prefer the same endpoint; null chooses by load alone.
 * @property excluded endpoints that were tried before.
 */
data class PickRequest(
    val service: String,
    val affinityKey: String?,
    val excluded: Set<EndpointId> = emptySet(),
)
