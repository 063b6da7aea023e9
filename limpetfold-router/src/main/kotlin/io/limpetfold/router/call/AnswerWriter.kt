package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.router.chat.ChatEvent
import io.limpetfold.router.chat.TokenMeter

/** Passes the answer of an engine to the caller in the form that the caller asked for. */
internal interface AnswerWriter {
    /** Whether a part of the answer has gone to the caller; from then on a failure can't become a refusal. */
    val hasBegun: Boolean

    /** Passes a part of the answer on; [data] is the event as the engine sent it. */
    suspend fun delta(
        delta: ChatEvent.Delta,
        data: String,
    )

    /** Ends a whole answer; [isCut] tells that the reserved output was used up. */
    suspend fun end(
        meter: TokenMeter,
        isCut: Boolean,
    )

    /** Ends an answer that can't be completed, so that it never looks whole. */
    suspend fun fail(
        endpoint: EndpointId,
        reason: String,
    )
}
