package io.limpetfold.limits

import java.time.Duration

/** How a request at an endpoint ended, for the adaptive limit. */
sealed interface EndpointOutcome {
    /** The endpoint responded; [latency] is the time to the first byte of the response. */
    data class Responded(
        val latency: Duration,
    ) : EndpointOutcome

    /** The endpoint refused the request because it is overloaded. */
    data object Overloaded : EndpointOutcome

    /** The request failed or timed out at the endpoint. */
    data object Failed : EndpointOutcome

    /** The end of the request says nothing about the endpoint, for example because the caller cancelled. */
    data object Ignored : EndpointOutcome
}
