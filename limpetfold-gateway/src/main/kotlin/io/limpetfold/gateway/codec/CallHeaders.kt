package io.limpetfold.gateway.codec

import io.limpetfold.core.RequestId
import io.limpetfold.dispatch.PromptDemand
import java.time.Duration

/**
 * Values of the header fields of a caller's request.
 *
 * @property requestId the request id; null if the caller sent none.
 * @property timeout how long the caller waits, at least zero; null if it is not given, or if it is [invalidField].
 * @property key the caller's API key.
 * @property prompt null for a call to a plain service, and if [isPromptValid] is false.
 * @property isPromptValid whether the numbers of tokens that the caller sent, if any, are valid.
 * @property invalidField name of a header field whose value can't be read, or null.
 * @property lastEventId id of the last event that the caller received of a stream that it resumes.
 */
data class CallHeaders(
    val requestId: RequestId?,
    val host: String,
    val timeout: Duration?,
    val key: String?,
    val prompt: PromptDemand?,
    val lastEventId: String?,
    val isPromptValid: Boolean = true,
    val invalidField: String? = null,
)
