package io.limpetfold.limits

import io.limpetfold.core.EndpointId

/**
 * An endpoint as one router sees it.
 *
 * @property baseSlots slots of the router's seat.
 * @property lentSlots own slots lent to peers.
 * @property borrowedSlots slots held from peers.
 * @property limit slots that may be used now, the adaptive limit included.
 */
data class EndpointStatus(
    val endpoint: EndpointId,
    val isInRotation: Boolean,
    val baseSlots: Int,
    val lentSlots: Int,
    val borrowedSlots: Int,
    val limit: Int,
    val inFlight: Int,
)
