package io.limpetfold.router.observe

/** Keeps the traces of the last [capacity] requests; safe for concurrent use. */
internal class TraceLog(
    private val capacity: Int = 2_000,
) {
    private val traces = ArrayDeque<RequestTrace>()

    fun add(trace: RequestTrace) {
        synchronized(traces) {
            if (traces.size == capacity) traces.removeFirst()
            traces.addLast(trace)
        }
    }

    /** Returns the traces of a request identity, the oldest first; several workspaces may use the same identity. */
    fun find(requestId: String): List<RequestTrace.View> =
        synchronized(traces) { traces.filter { it.request.value == requestId } }.map { it.toView() }
}
