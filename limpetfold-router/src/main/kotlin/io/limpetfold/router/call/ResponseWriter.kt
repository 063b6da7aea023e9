package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.TokenMeter

/** Writes the response of an engine to the caller, as a stream or as one document. */
internal interface ResponseWriter {
    /** Whether a part of the response was sent to the caller; from then on a failure can't be reported as a refusal. */
    val hasStarted: Boolean

    /** Writes a part of the response; [data] is the event as the engine sent it. */
    suspend fun writeDelta(
        delta: ChatEvent.Delta,
        data: String,
    )

    /**
     * Ends a complete response; [isTruncated] tells whether it was truncated because the reserved output was used up.
     */
    suspend fun complete(
        meter: TokenMeter,
        isTruncated: Boolean,
    )

    /** Ends a response that can't be completed, so that the caller never takes it for a complete one. */
    suspend fun fail(
        endpoint: EndpointId,
        reason: String,
    )
}
