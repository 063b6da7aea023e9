package io.limpetfold.limits

import io.limpetfold.core.EndpointId

/** Asks an endpoint whether it takes new requests. */
fun interface EndpointProbe {
    /** Returns true when the endpoint answered that it is ready; a draining answer is false. */
    suspend fun probe(endpoint: EndpointId): Boolean

    companion object {
        /** Never succeeds, so an endpoint that was taken out stays out. */
        val NONE = EndpointProbe { false }
    }
}
