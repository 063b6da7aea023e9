package io.limpetfold.dispatch

import io.limpetfold.core.EndpointId

/**
 * A call that needs an endpoint.
 *
 * @property affinityKey calls with the same key prefer the same endpoint; null chooses by load alone.
 * @property excluded endpoints that were tried before.
 * @property versions which versions of the service may be used, in order of preference; the first with an endpoint decides. Null where no
 * move between versions runs.
 */
data class PickRequest(
    val service: String,
    val affinityKey: String?,
    val excluded: Set<EndpointId> = emptySet(),
    val versions: VersionPreference? = null,
)
