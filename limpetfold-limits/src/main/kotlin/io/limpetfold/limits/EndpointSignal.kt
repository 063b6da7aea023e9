package io.limpetfold.limits

/** Something seen of an endpoint outside a request's own result. */
sealed interface EndpointSignal {
    /** A sign that the endpoint takes no new requests. */
    sealed interface Leaving : EndpointSignal

    /** A connection was refused. */
    data object ConnectionRefused : Leaving

    /** The endpoint answered that it is draining. */
    data object Draining : Leaving

    /** The platform's list shows the endpoint as leaving. */
    data object ListedLeaving : Leaving

    /** The endpoint reported its [load]: requests held divided by its limit, 0 to 1. */
    data class Load(
        val load: Double,
    ) : EndpointSignal
}
