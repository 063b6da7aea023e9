package io.limpetfold.request

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * The journal record of a request that ended, written before the last part of its response is sent.
 *
 * @property usedTokens the tokens billed for the request.
 * @property cumulativeSpentTokens the total that [holder] has spent for [workspace], including this request.
 */
@Serializable
data class ClosedRecord(
    val workspace: WorkspaceId,
    val request: RequestId,
    val holder: Incarnation,
    val usedTokens: Long,
    val cumulativeSpentTokens: Long,
)
