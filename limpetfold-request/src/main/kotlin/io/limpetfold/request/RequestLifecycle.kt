package io.limpetfold.request

import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.request.RequestState.Admitted
import io.limpetfold.request.RequestState.Answered
import io.limpetfold.request.RequestState.Answering
import io.limpetfold.request.RequestState.Refused
import io.limpetfold.request.RequestState.Reserved
import io.limpetfold.request.RequestState.Sent
import io.limpetfold.request.RequestState.Unknown

/**
 * The state transitions of a request, as pure functions.
 *
 * [Refused] is reachable only from [Admitted] and [Reserved]. A request leaves [Sent] for [Reserved] only with a
 * [NotStartedProof], and only when no earlier attempt may have run. An idempotent request may be sent again from
 * [Unknown]; from then on it counts as a request that may have run, whatever later attempts show.
 */
object RequestLifecycle {
    /** Returns the initial state of a request. */
    fun admit(
        workspace: WorkspaceId,
        request: RequestId,
    ): Admitted = Admitted(workspace, request)

    /**
     * Returns the state after [event].
     *
     * @throws IllegalStateException when [event] is not possible in [state], which is a programming error of the
     * caller.
     */
    fun next(
        state: RequestState,
        event: RequestEvent,
    ): RequestState =
        when (state) {
            is Admitted -> afterAdmitted(state, event)
            is Reserved -> afterReserved(state, event)
            is Sent -> afterSent(state, event)
            is Answering -> afterAnswering(state, event)
            is Unknown -> afterUnknown(state, event)
            is Answered, is Refused -> illegal(state, event)
        }

    /** Returns the refusal to send to the caller, or null when [state] has none. */
    fun refusal(state: RequestState): Refusal? =
        when (state) {
            is Refused -> state.refusal
            is Unknown -> state.refusal
            is Admitted, is Reserved, is Sent, is Answering, is Answered -> null
        }

    private fun afterAdmitted(
        state: Admitted,
        event: RequestEvent,
    ): RequestState =
        when (event) {
            is RequestEvent.Reserve -> Reserved(state.workspace, state.request, attempts = 0)
            is RequestEvent.Refuse -> Refused(state.workspace, state.request, event.refusal)
            else -> illegal(state, event)
        }

    private fun afterReserved(
        state: Reserved,
        event: RequestEvent,
    ): RequestState =
        when (event) {
            is RequestEvent.Send ->
                Sent(
                    state.workspace,
                    state.request,
                    event.endpoint,
                    state.attempts + 1,
                    mayHaveRunBefore = false,
                )
            is RequestEvent.Refuse -> Refused(state.workspace, state.request, event.refusal)
            else -> illegal(state, event)
        }

    private fun afterSent(
        state: Sent,
        event: RequestEvent,
    ): RequestState =
        when (event) {
            is RequestEvent.NotStarted ->
                if (state.mayHaveRunBefore) {
                    unknown(state)
                } else {
                    Reserved(state.workspace, state.request, state.attempts)
                }
            is RequestEvent.ResponseStarted ->
                Answering(state.workspace, state.request, state.endpoint, state.attempts, passedBytes = 0)
            is RequestEvent.UpstreamLost -> unknown(state)
            else -> illegal(state, event)
        }

    private fun afterAnswering(
        state: Answering,
        event: RequestEvent,
    ): RequestState =
        when (event) {
            is RequestEvent.BytesPassed ->
                Answering(
                    state.workspace,
                    state.request,
                    state.endpoint,
                    state.attempts,
                    state.passedBytes + event.bytes,
                )
            is RequestEvent.ResponseEnded -> Answered(state.workspace, state.request, state.endpoint)
            is RequestEvent.UpstreamLost ->
                Unknown(
                    state.workspace,
                    state.request,
                    state.endpoint,
                    state.attempts,
                    state.passedBytes,
                    Refusal.UpstreamFailed(state.endpoint, state.request),
                )
            else -> illegal(state, event)
        }

    private fun afterUnknown(
        state: Unknown,
        event: RequestEvent,
    ): RequestState {
        if (event !is RequestEvent.Send || state.passedBytes > 0) illegal(state, event)
        return Sent(state.workspace, state.request, event.endpoint, state.attempts + 1, mayHaveRunBefore = true)
    }

    private fun unknown(state: Sent) =
        Unknown(
            state.workspace,
            state.request,
            state.endpoint,
            state.attempts,
            passedBytes = 0,
            refusal = Refusal.UnknownOutcome(state.endpoint, state.request),
        )

    private fun illegal(
        state: RequestState,
        event: RequestEvent,
    ): Nothing = error("event $event is not possible in state $state; report this as a defect of the caller")
}
