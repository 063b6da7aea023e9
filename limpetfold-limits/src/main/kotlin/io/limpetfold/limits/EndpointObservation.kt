package io.limpetfold.limits

import java.time.Duration

/** How a request at an endpoint ended, for the adaptive limit. */
sealed interface EndpointObservation {
    /** The endpoint answered; [latency] is the time to the first byte of the answer. */
    data class Answered(
        val latency: Duration,
    ) : EndpointObservation

    /** The endpoint refused the request because it is overloaded. */
    data object Overloaded : EndpointObservation

    /** The request failed or timed out at the endpoint. */
    data object Failed : EndpointObservation

    /** The end says nothing about the endpoint, as when the caller cancelled. */
    data object Ignored : EndpointObservation
}
