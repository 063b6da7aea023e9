package io.limpetfold.router.call

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * The billable runs of this router by request identity; safe for concurrent use.
 *
 * The last [maxEndedRuns] runs that were billed or handed over are remembered, so that a late retry learns their
 * outcome.
 */
internal class RunRegistry(
    private val self: Incarnation,
    private val maxEndedRuns: Int = 20_000,
) {
    private val starting = HashMap<Key, Call>()
    private val runs = HashMap<Key, BillableRun>()
    private val endedRuns = LinkedHashMap<Key, EndedRun>()

    /**
     * Marks the request of [call] as starting until [add] or [endStart]; returns false when another call with the same
     * identity is starting.
     *
     * Without this mark, two retries that arrive at the same time would both find no run and both be billed.
     */
    fun beginStart(call: Call): Boolean = synchronized(this) { starting.putIfAbsent(Key(call), call) == null }

    fun endStart(call: Call) {
        synchronized(this) { starting.remove(Key(call), call) }
    }

    fun add(
        call: Call,
        run: BillableRun,
    ) {
        synchronized(this) {
            runs[Key(call)] = run
            starting.remove(Key(call), call)
        }
    }

    fun remove(
        call: Call,
        run: BillableRun,
    ) {
        val key = Key(call)
        synchronized(this) {
            runs.remove(key, run)
            if (run.state == BillingState.BILLED ||
                run.state == BillingState.HANDED_OVER
            ) {
                endedRuns[key] = EndedRun(run.state, run.takenBy)
            }
            if (endedRuns.size > maxEndedRuns) endedRuns.remove(endedRuns.keys.first())
        }
    }

    /** Hands the run of a request over to [taker] without billing it, unless it was billed or handed over before. */
    fun handOver(
        workspace: WorkspaceId,
        request: RequestId,
        taker: Incarnation,
    ): TakeoverReply {
        val key = Key(workspace, request)
        return synchronized(this) {
            val endedRun = endedRuns[key]
            val run = runs[key]
            when {
                endedRun?.state == BillingState.BILLED -> TakeoverReply(TakeoverOutcome.BILLED)
                run != null -> run.handOver(taker)
                key in starting && taker != self -> TakeoverReply(TakeoverOutcome.TAKEN, self)
                endedRun != null -> TakeoverReply.of(endedRun.state, endedRun.takenBy, taker)
                else -> TakeoverReply(TakeoverOutcome.UNKNOWN_REQUEST)
            }
        }
    }

    private class EndedRun(
        val state: BillingState,
        val takenBy: Incarnation?,
    )

    private data class Key(
        val workspace: WorkspaceId,
        val request: RequestId,
    ) {
        constructor(call: Call) : this(call.workspace.workspace, call.request)
    }
}
