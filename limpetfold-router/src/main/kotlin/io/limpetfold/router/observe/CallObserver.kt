package io.limpetfold.router.observe

import io.limpetfold.burn.SloBurnCounter
import io.limpetfold.config.Objectives
import io.limpetfold.request.Refusal
import io.limpetfold.router.call.Call
import io.limpetfold.router.call.CallEnd
import java.time.Duration

/** Records the start and end of calls in metrics, SLO burn counts and traces. */
internal class CallObserver(
    private val metrics: RouterMetrics,
    private val burn: SloBurnCounter,
    private val traces: TraceLog,
) {
    /** Counts a request that was refused before its call was created, so that it has no route or workspace. */
    fun onRefusedAtAdmission(refusal: Refusal) = metrics.onRefused(NO_ROUTE, refusal)

    fun onStarted(call: Call) {
        traces.add(call.trace)
        metrics.onStarted()
    }

    fun onEnded(
        call: Call,
        end: CallEnd,
    ) {
        metrics.onEnded(call, end)
        val elapsed = Duration.ofNanos(call.arrivedAt.elapsedNow().inWholeNanoseconds)
        when (end) {
            is CallEnd.Answered -> {
                call.trace.add("answered status=${end.status}")
                val hasFailed = end.status >= FIRST_SERVER_ERROR
                burn.record(
                    call.route.route,
                    call.workspace.workspace,
                    hasFailed,
                    isSlow(call.route.objectives, end, elapsed),
                )
            }
            is CallEnd.Refused -> {
                call.trace.add("refused type=${end.refusal.type} ran=${end.refusal.ran.wireName}")
                // A refusal that the caller causes, such as a bad request or an exhausted budget, does not count
                // against the SLO.
                val isServerFault = end.refusal.status >= FIRST_SERVER_ERROR
                burn.record(call.route.route, call.workspace.workspace, isServerFault, isSlow = false)
            }
            is CallEnd.Broken -> {
                call.trace.add("answer broken cause=\"${end.reason}\"")
                burn.record(call.route.route, call.workspace.workspace, hasFailed = true, isSlow = false)
            }
            CallEnd.Cancelled -> call.trace.add("caller gone")
        }
    }

    private fun isSlow(
        objectives: Objectives,
        end: CallEnd.Answered,
        elapsed: Duration,
    ): Boolean =
        exceeds(end.firstToken, objectives.firstToken) ||
            exceeds(end.betweenTokens, objectives.betweenTokens) ||
            (end.firstToken == null && exceeds(elapsed, objectives.latency))

    private fun exceeds(
        measured: Duration?,
        objective: Duration?,
    ): Boolean = measured != null && objective != null && measured > objective

    private companion object {
        const val NO_ROUTE = "(none)"
        const val FIRST_SERVER_ERROR = 500
    }
}
