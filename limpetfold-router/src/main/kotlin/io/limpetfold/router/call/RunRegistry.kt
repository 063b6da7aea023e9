package io.limpetfold.router.call

import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/**
 * The billed runs of this router by request identity; safe for concurrent use.
 *
 * Runs that ended are remembered for a while, so that a late retry learns that they were billed.
 */
internal class RunRegistry(
    private val maxEnded: Int = 20_000,
) {
    private val runs = HashMap<Key, BillableRun>()
    private val ended = LinkedHashMap<Key, BillState>()

    fun add(
        workspace: WorkspaceId,
        request: RequestId,
        run: BillableRun,
    ) {
        synchronized(this) { runs[Key(workspace, request)] = run }
    }

    fun remove(
        workspace: WorkspaceId,
        request: RequestId,
        run: BillableRun,
    ) {
        val key = Key(workspace, request)
        synchronized(this) {
            if (runs[key] === run) runs.remove(key)
            if (run.state == BillState.BILLED) ended[key] = run.state
            if (ended.size > maxEnded) ended.remove(ended.keys.first())
        }
    }

    /** Ends the run of a request without a bill, unless it was billed. */
    fun handOver(
        workspace: WorkspaceId,
        request: RequestId,
    ): HandOver {
        val key = Key(workspace, request)
        val run =
            synchronized(this) {
                if (ended[key] == BillState.BILLED) return HandOver.BILLED
                runs[key] ?: return HandOver.UNKNOWN_REQUEST
            }
        return if (run.handOver()) HandOver.HANDED_OVER else HandOver.BILLED
    }

    private data class Key(
        val workspace: WorkspaceId,
        val request: RequestId,
    )
}
