package io.limpetfold.gateway.codec

import io.limpetfold.core.RequestId
import io.limpetfold.dispatch.PromptDemand
import java.time.Duration

/**
 * What the header fields of a caller's request say.
 *
 * @property request null when the caller sent no identity.
 * @property deadline how long the caller waits; null when it does not say.
 * @property key the caller's key.
 * @property prompt null for a call to a plain service.
 * @property lastEventId the last event of a stream that the caller resumes.
 */
data class CallHeaders(
    val request: RequestId?,
    val host: String,
    val deadline: Duration?,
    val key: String?,
    val prompt: PromptDemand?,
    val lastEventId: String?,
)
