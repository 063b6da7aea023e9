package io.limpetfold.request

import io.limpetfold.core.EndpointId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * Where a request stands; values are made by [RequestLifecycle] only.
 *
 * @property workspace scopes [request]: two workspaces may use the same request identity.
 */
sealed class RequestState(
    val workspace: WorkspaceId,
    val request: RequestId,
) {
    /** The request was accepted and nothing was reserved. */
    class Admitted internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
    ) : RequestState(workspace, request)

    /** Tokens are reserved and no endpoint holds the request. */
    class Reserved internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val attempts: Int,
    ) : RequestState(workspace, request)

    /**
     * A byte of the request may have reached [endpoint].
     *
     * @property mayHaveRunBefore an earlier attempt ended without proof that it did not start, so "not run" is no longer
     * possible for this request, whatever this attempt shows.
     */
    class Sent internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
        val attempts: Int,
        val mayHaveRunBefore: Boolean,
    ) : RequestState(workspace, request)

    /** The endpoint's answer began; [passedBytes] of its body went to the caller. */
    class Answering internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
        val attempts: Int,
        val passedBytes: Long,
    ) : RequestState(workspace, request)

    /** The caller has the whole answer. */
    class Answered internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val endpoint: EndpointId,
    ) : RequestState(workspace, request)

    /** The request was not sent to any endpoint that may have started it; [refusal] is the answer. */
    class Refused internal constructor(
        workspace: WorkspaceId,
        request: RequestId,
        val refusal: Refusal,
    ) : RequestState(workspace, request)

    /** The request may have run and no whole answer exists; [refusal] is the answer unless the request is sent again. */
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
