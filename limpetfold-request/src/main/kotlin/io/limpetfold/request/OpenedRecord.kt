package io.limpetfold.request

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * The journal record of a request that is sent to an endpoint.
 *
 * @property holder the router incarnation whose budget grant pays for the request.
 * @property reservedTokens the maximum number of tokens that the request can cost.
 * @property takeovers how many times an earlier run of the request was taken over by a later one; 0 for the first run.
 */
@Serializable
data class OpenedRecord(
    val workspace: WorkspaceId,
    val request: RequestId,
    val holder: Incarnation,
    val endpoint: EndpointId,
    val reservedTokens: Long,
    val takeovers: Int = 0,
)
