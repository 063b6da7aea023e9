package io.limpetfold.gateway.call

import io.limpetfold.core.EndpointId
import io.limpetfold.dispatch.CallOutcome
import io.limpetfold.dispatch.PromptDemand
import io.limpetfold.quarantine.PromptPartQuarantine
import java.time.Duration

/** Records what [result] of a call that was sent to [endpoint] shows about the parts of its prompt. */
internal fun PromptPartQuarantine.record(
    endpoint: EndpointId,
    prompt: PromptDemand,
    result: SendResult,
    now: Duration,
) = when {
    result.isConnectionLost -> onConnectionLost(endpoint, prompt, now)
    result.callOutcome == CallOutcome.SUCCEEDED -> onAnswered(prompt, now)
    else -> Unit
}
