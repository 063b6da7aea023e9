package io.limpetfold.request

import io.limpetfold.core.EndpointId

/** An event that changes the state of a request; see [RequestLifecycle]. */
sealed interface RequestEvent {
    /** Tokens were reserved, or the request needs none. */
    data object Reserve : RequestEvent

    /** The request is about to be written to [endpoint]; report it before the first byte is written. */
    data class Send(
        val endpoint: EndpointId,
    ) : RequestEvent

    /** The endpoint is proven not to have started the request. */
    data class NotStarted(
        val proof: NotStartedProof,
    ) : RequestEvent

    /** The head of the endpoint's response arrived, and it does not prove that the request was not started. */
    data object ResponseStarted : RequestEvent

    /** [bytes] of the response body were passed to the caller. */
    data class BytesPassed(
        val bytes: Long,
    ) : RequestEvent

    /** The last part of the response was passed to the caller. */
    data object ResponseEnded : RequestEvent

    /** The upstream connection was closed, timed out or was cancelled before the whole response arrived. */
    data object UpstreamLost : RequestEvent

    /** The router refuses the request. */
    data class Refuse(
        val refusal: Refusal,
    ) : RequestEvent
}
