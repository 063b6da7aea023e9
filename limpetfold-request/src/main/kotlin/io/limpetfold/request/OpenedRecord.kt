package io.limpetfold.request

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * Written when a request is sent to an endpoint.
 *
 * @property holder the router incarnation whose budget grant pays.
 * @property reservedTokens the most that the request can cost.
 * @property takeovers how often the request passed from one run to another before this one.
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
