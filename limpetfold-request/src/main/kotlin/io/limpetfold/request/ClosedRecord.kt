package io.limpetfold.request

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import kotlinx.serialization.Serializable

/**
 * Written when a request ended, before the last part of its answer goes out.
 *
 * @property usedTokens what the request is billed.
 * @property cumulativeSpentTokens all that [holder] has spent for [workspace], this request included.
 */
@Serializable
data class ClosedRecord(
    val workspace: WorkspaceId,
    val request: RequestId,
    val holder: Incarnation,
    val usedTokens: Long,
    val cumulativeSpentTokens: Long,
)
