package io.limpetfold.gateway.observe

import io.limpetfold.gateway.call.AdmittedCall
import io.limpetfold.gateway.call.CallEnd
import io.limpetfold.gateway.call.RefusalReason
import io.limpetfold.http.RequestHead
import java.time.Duration

/** Writes one line and counts for each call, with what decided it. */
internal class CallObserver(
    private val log: DecisionLog,
    private val metrics: GatewayMetrics,
) {
    /** Notes a call that was refused from its head alone. */
    fun refused(
        head: RequestHead,
        request: String?,
        reason: RefusalReason,
    ) {
        metrics.refused(reason.type)
        log.info("call.refused", "request" to request, "path" to head.path, "status" to reason.status, "reason" to reason.type)
    }

    /** Notes the end of [call]. */
    fun ended(
        call: AdmittedCall,
        end: CallEnd,
        now: Duration,
    ) {
        val elapsed = now - call.arrivedAt
        val firstByte = call.firstByteAt?.minus(call.arrivedAt)
        val outcome = outcomeOf(end)
        metrics.callEnded(call.route.route.value, outcome, elapsed, firstByte, call.sends.size)
        log.info(
            "call.ended",
            "request" to call.request,
            "route" to call.route.route,
            "service" to call.service,
            "workspace" to call.workspace?.workspace,
            "config" to call.table.version,
            "outcome" to outcome,
            "detail" to detailOf(end),
            "prompt" to call.headers.prompt?.let { p -> "${p.inputTokens},${p.maxOutputTokens} ${p.parts.joinToString(",") { it.id + ":" + it.tokens }}" },
            "sends" to call.sends.joinToString(" ").ifEmpty { null },
            "answers" to call.outcomes.joinToString("; ").ifEmpty { null },
            "events" to call.deliveredEvents.takeIf { it > 0 },
            "firstByteMillis" to firstByte?.toMillis(),
            "elapsedMillis" to elapsed.toMillis(),
            "patienceMillis" to (call.endsAt - call.arrivedAt).toMillis(),
        )
    }

    private fun outcomeOf(end: CallEnd): String =
        when (end) {
            is CallEnd.Answered -> "answered"
            is CallEnd.Refused -> end.reason.type
            is CallEnd.Broken -> "broken"
            CallEnd.CallerGone -> "caller_gone"
        }

    private fun detailOf(end: CallEnd): String? =
        when (end) {
            is CallEnd.Answered -> "status ${end.status}"
            is CallEnd.Refused -> "status ${end.reason.status}"
            is CallEnd.Broken -> end.reason
            CallEnd.CallerGone -> null
        }
}
