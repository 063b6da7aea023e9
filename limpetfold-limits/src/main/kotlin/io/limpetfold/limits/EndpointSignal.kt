package io.limpetfold.limits

/** An observation about an endpoint other than the outcome of a request. */
sealed interface EndpointSignal {
    /** The endpoint accepts no new requests. */
    sealed interface Leaving : EndpointSignal

    /** The endpoint refused a connection. */
    data object ConnectionRefused : Leaving

    /** The endpoint reported that it is draining. */
    data object Draining : Leaving

    /** The platform's list shows the endpoint as leaving. */
    data object ListedLeaving : Leaving

    /** The endpoint reported its [load]: its requests in flight divided by its limit, from 0 to 1. */
    data class Load(
        val load: Double,
    ) : EndpointSignal
}
