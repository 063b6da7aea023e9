package io.limpetfold.dispatch

import io.limpetfold.core.EndpointId

/**
 * A call that needs an endpoint.
 *
 * @property affinityKey calls with the same key prefer the same endpoint; null chooses by load alone.
 * @property excluded endpoints that were already tried for this call.
 * @property versions which version of the service the call prefers; null while no move between versions is in progress.
 * @property avoidedVersions versions whose endpoints get the call only if the service has no others, because a refusal
 *   would serve no caller.
 * @property connectionShare this router's share of the connections that an endpoint accepts from all routers; null if it
 *   is unknown. An endpoint with as many calls of this router in flight is passed over while another one has room.
 */
data class PickRequest(
    val service: String,
    val affinityKey: String?,
    val excluded: Set<EndpointId> = emptySet(),
    val versions: VersionPreference? = null,
    val avoidedVersions: Set<String> = emptySet(),
    val connectionShare: Int? = null,
)
