package io.limpetfold.router.call

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * The billed runs of this router by request identity; safe for concurrent use.
 *
 * Runs that were billed or handed over are remembered for a while, so that a late retry learns what became of them.
 */
internal class RunRegistry(
    private val self: Incarnation,
    private val maxEnded: Int = 20_000,
) {
    private val starting = HashMap<Key, Call>()
    private val runs = HashMap<Key, BillableRun>()
    private val ended = LinkedHashMap<Key, EndedRun>()

    /**
     * Marks the request of [call] as starting until [add] or [endStart]; returns false when another call with its identity is starting.
     *
     * Without it two retries that arrive together would both find no run and both be billed.
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
            if (run.state == BillState.BILLED || run.state == BillState.HANDED_OVER) ended[key] = EndedRun(run.state, run.takenBy)
            if (ended.size > maxEnded) ended.remove(ended.keys.first())
        }
    }

    /** Hands the run of a request to [taker] without a bill, unless it was billed or taken by another router. */
    fun handOver(
        workspace: WorkspaceId,
        request: RequestId,
        taker: Incarnation,
    ): TakeoverReply {
        val key = Key(workspace, request)
        return synchronized(this) {
            val last = ended[key]
            val run = runs[key]
            when {
                last?.state == BillState.BILLED -> TakeoverReply(HandOver.BILLED)
                run != null -> run.handOver(taker)
                key in starting && taker != self -> TakeoverReply(HandOver.TAKEN, self)
                last != null -> TakeoverReply.of(last.state, last.takenBy, taker)
                else -> TakeoverReply(HandOver.UNKNOWN_REQUEST)
            }
        }
    }

    private class EndedRun(
        val state: BillState,
        val takenBy: Incarnation?,
    )

    private data class Key(
        val workspace: WorkspaceId,
        val request: RequestId,
    ) {
        constructor(call: Call) : this(call.workspace.workspace, call.request)
    }
}
