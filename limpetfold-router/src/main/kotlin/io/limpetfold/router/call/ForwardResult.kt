package io.limpetfold.router.call

import io.limpetfold.http.UpstreamResponse
import io.limpetfold.request.RequestEvent
import io.limpetfold.request.RequestLifecycle
import io.limpetfold.request.RequestState

/** How the attempts of one request ended. */
internal sealed interface ForwardResult {
    /** An endpoint responds; [response] must be read to its end or closed. */
    class Responding(
        val state: RequestState,
        val attempt: Attempt,
        val response: UpstreamResponse,
    ) : ForwardResult {
        companion object {
            /** A response that resumes the stream of an earlier attempt. */
            fun resumed(
                call: Call,
                attempt: Attempt,
                response: UpstreamResponse,
            ): Responding {
                val admitted = RequestLifecycle.admit(call.workspace.workspace, call.request)
                val reserved = RequestLifecycle.next(admitted, RequestEvent.Reserve)
                val sent = RequestLifecycle.next(reserved, RequestEvent.Send(attempt.endpoint))
                return Responding(RequestLifecycle.next(sent, RequestEvent.ResponseStarted), attempt, response)
            }
        }
    }

    /** No endpoint responded; [state] holds the refusal for the caller. */
    class NoResponse(
        val state: RequestState,
    ) : ForwardResult
}
