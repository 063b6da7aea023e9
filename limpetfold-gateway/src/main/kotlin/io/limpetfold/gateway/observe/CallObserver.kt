package io.limpetfold.gateway.observe

import io.limpetfold.gateway.call.AdmissionRefusal
import io.limpetfold.gateway.call.AdmittedCall
import io.limpetfold.gateway.call.CallEnd
import io.limpetfold.http.RequestHead
import java.time.Duration

/** Logs one line for each call, with the inputs of the decisions made for it, and records its metrics. */
internal class CallObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    /** Records a call that was refused at admission. */
    fun onCallRefused(
        head: RequestHead,
        refusal: AdmissionRefusal,
    ) {
        metrics.recordCallRefused(refusal.reason.type)
        log.info(
            "call.refused",
            "request" to refusal.request,
            "path" to head.path,
            "status" to refusal.reason.status,
            "reason" to refusal.reason.type,
            "field" to refusal.field,
        )
    }

    /** Records the end of [call]. */
    fun onCallEnded(
        call: AdmittedCall,
        end: CallEnd,
        now: Duration,
    ) {
        val elapsed = now - call.arrivedAt
        val firstByte = call.firstByteAt?.minus(call.arrivedAt)
        val outcome = outcomeOf(end)
        metrics.recordCallEnded(call.route.route.value, outcome, elapsed, firstByte, call.attempts.size)
        log.info(
            "call.ended",
            "request" to call.request,
            "route" to call.route.route,
            "service" to call.service,
            "workspace" to call.workspace?.workspace,
            "config" to call.table.version,
            "outcome" to outcome,
            "detail" to detailOf(end),
            "prompt" to
                call.headers.prompt?.let { p ->
                    "${p.inputTokens},${p.maxOutputTokens} ${p.parts.joinToString(",") { it.id + ":" + it.tokens }}"
                },
            "sends" to call.attempts.joinToString(" ").ifEmpty { null },
            "answers" to call.attemptOutcomes.joinToString("; ").ifEmpty { null },
            "events" to call.deliveredEvents.takeIf { it > 0 },
            "firstByteMillis" to firstByte?.toMillis(),
            "elapsedMillis" to elapsed.toMillis(),
            "patienceMillis" to (call.deadline - call.arrivedAt).toMillis(),
        )
    }

    private fun outcomeOf(end: CallEnd): String =
        when (end) {
            is CallEnd.Completed -> "answered"
            is CallEnd.Refused -> end.reason.type
            is CallEnd.Truncated -> "broken"
            CallEnd.CallerDisconnected -> "caller_gone"
        }

    private fun detailOf(end: CallEnd): String? =
        when (end) {
            is CallEnd.Completed -> "status ${end.status}"
            is CallEnd.Refused -> "status ${end.reason.status}"
            is CallEnd.Truncated -> end.reason
            CallEnd.CallerDisconnected -> null
        }
}
