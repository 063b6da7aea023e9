package io.limpetfold.limits

import io.limpetfold.core.EndpointId

/**
 * An endpoint as one router sees it.
 *
 * @property baseSlots slots that the router's seat owns; see [BaseShare].
 * @property lentSlots slots of the seat that are lent to peers.
 * @property borrowedSlots slots borrowed from peers and not yet returned.
 * @property limit slots that may be used now, after lending, borrowing and the adaptive limit.
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
