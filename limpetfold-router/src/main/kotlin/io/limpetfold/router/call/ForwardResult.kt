package io.limpetfold.router.call

import io.limpetfold.http.UpstreamResponse
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.request.RequestState

/** How the attempts of one request ended. */
internal sealed interface ForwardResult {
    /** An endpoint answers; the answer must be read to its end or closed, and the attempt released. */
    class Answering(
        val state: RequestState,
        val attempt: Attempt,
        val answer: UpstreamResponse,
    ) : ForwardResult {
        companion object {
            /** An answer that continues the stream of an earlier attempt. */
            fun resumed(
                call: Call,
                attempt: Attempt,
                answer: UpstreamResponse,
            ): Answering {
                val admitted = RequestLifecycle.admit(call.workspace.workspace, call.request)
                val reserved = RequestLifecycle.next(admitted, RequestEvent.Reserve)
                val sent = RequestLifecycle.next(reserved, RequestEvent.Send(attempt.endpoint))
                return Answering(RequestLifecycle.next(sent, RequestEvent.AnswerBegan), attempt, answer)
            }
        }
    }

    /** No endpoint answers; [state] holds the refusal for the caller. */
    class Ended(
        val state: RequestState,
    ) : ForwardResult
}
