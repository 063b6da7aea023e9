package io.limpetfold.request

import io.limpetfold.core.EndpointId

/** Something that changes the state of a request. */
sealed interface RequestEvent {
    /** Tokens were reserved, or the call needs none. */
    data object Reserve : RequestEvent

    /** The request is about to be written to [endpoint]; report it before the first byte is written. */
    data class Send(
        val endpoint: EndpointId,
    ) : RequestEvent

    /** The endpoint did not start the request. */
    data class NotStarted(
        val proof: NotStartedProof,
    ) : RequestEvent

    /** The head of the endpoint's answer arrived and it is not a proof of not starting. */
    data object AnswerBegan : RequestEvent

    /** [bytes] of the answer were passed to the caller. */
    data class BytesPassed(
        val bytes: Long,
    ) : RequestEvent

    /** The last part of the answer was passed to the caller. */
    data object AnswerEnded : RequestEvent

    /** The upstream connection ended, timed out or was cancelled before the whole answer arrived. */
    data object UpstreamLost : RequestEvent

    /** The router refuses the request. */
    data class Refuse(
        val refusal: Refusal,
    ) : RequestEvent
}
