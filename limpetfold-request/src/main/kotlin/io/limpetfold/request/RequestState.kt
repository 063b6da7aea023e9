package io.limpetfold.request

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * The state of a request; only [RequestLifecycle] creates instances.
 *
 * @property workspace scopes [request]: two workspaces may use the same request identity.
 */
sealed class RequestState(
    val workspace: WorkspaceId,
    val request: RequestId,
) {
    /** The request was accepted; no tokens are reserved yet. */
    class Admitted internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
    ) : RequestState(workspace, request)

    /** Tokens are reserved, and no endpoint has started the request. */
    class Reserved internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val attempts: Int,
    ) : RequestState(workspace, request)

    /**
     * A byte of the request may have reached [endpoint].
     *
     * @property mayHaveRunBefore whether an earlier attempt ended without proof that it did not start. The request can
     * then no longer be refused as not run, whatever this attempt shows.
     */
    class Sent internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
        val attempts: Int,
        val mayHaveRunBefore: Boolean,
    ) : RequestState(workspace, request)

    /** The endpoint began to respond; [passedBytes] of the response body were passed to the caller. */
    class Answering internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
        val attempts: Int,
        val passedBytes: Long,
    ) : RequestState(workspace, request)

    /** The whole response was passed to the caller. */
    class Answered internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
    ) : RequestState(workspace, request)

    /** No endpoint can have started the request; [refusal] is the response to the caller. */
    class Refused internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val refusal: Refusal,
    ) : RequestState(workspace, request)

    /** The request may have run and has no complete response; unless it is sent again, [refusal] is the response. */
    class Unknown internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
        val attempts: Int,
        val passedBytes: Long,
        val refusal: Refusal.MayHaveRun,
    ) : RequestState(workspace, request)

    override fun toString(): String = "${this::class.simpleName}($workspace/$request)"
}
