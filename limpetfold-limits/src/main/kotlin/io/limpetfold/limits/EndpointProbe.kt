package io.limpetfold.limits

import io.limpetfold.core.EndpointId

/** Checks whether an endpoint that was removed from rotation accepts new requests again. */
fun interface EndpointProbe {
    /** Returns true when [endpoint] responded that it is ready, and false when it is draining or does not respond. */
    suspend fun probe(endpoint: EndpointId): Boolean

    companion object {
        /** Never succeeds, so an endpoint that was removed from rotation stays removed. */
        val NONE = EndpointProbe { false }
    }
}
