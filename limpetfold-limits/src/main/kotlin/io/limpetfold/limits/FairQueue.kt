package io.limpetfold.limits

import io.limpetfold.core.WorkspaceId

/**
 * Waiting entries of one route, taken by deficit round robin over workspaces; not safe for concurrent use.
 *
 * Each turn gives a workspace as many entries as its weight. A workspace whose head cannot be served yet keeps its place.
 */
internal class FairQueue<T>(
    private val weight: (WorkspaceId) -> Int,
) {
    private class Lane<T> {
        val entries = ArrayDeque<T>()
        var deficit = 0
    }

    private val lanes = HashMap<WorkspaceId, Lane<T>>()
    private val order = ArrayDeque<WorkspaceId>()

    var size = 0
        private set

    fun add(
        workspace: WorkspaceId,
        entry: T,
    ) {
        val lane =
            lanes.getOrPut(workspace) {
                order.addLast(workspace)
                Lane()
            }
        lane.entries.addLast(entry)
        size++
    }

    fun remove(
        workspace: WorkspaceId,
        entry: T,
    ): Boolean {
        val lane = lanes[workspace] ?: return false
        val isRemoved = lane.entries.remove(entry)
        if (isRemoved) size--
        if (lane.entries.isEmpty()) drop(workspace)
        return isRemoved
    }

    /** Removes and returns the newest entry of the workspace with the most entries for its weight. */
    fun removeLastOfLongest(): T? {
        val longest = lanes.maxByOrNull { it.value.entries.size.toDouble() / weight(it.key).coerceAtLeast(1) } ?: return null
        val last = longest.value.entries.removeLast()
        size--
        if (longest.value.entries.isEmpty()) drop(longest.key)
        return last
    }

    /** Returns the entries in the order in which their workspaces joined; for inspection only. */
    fun entries(): List<T> = order.flatMap { lanes.getValue(it).entries }

    /**
     * Offers the head of each workspace in turn to [serve], which returns true when it took the entry.
     *
     * Returns after one entry was taken, or when no head can be served.
     */
    fun serveOne(serve: (T) -> Boolean): Boolean {
        repeat(order.size) {
            val workspace = order.first()
            val lane = lanes.getValue(workspace)
            if (lane.deficit <= 0) lane.deficit += weight(workspace).coerceAtLeast(1)
            if (serve(lane.entries.first())) {
                lane.entries.removeFirst()
                size--
                lane.deficit--
                if (lane.entries.isEmpty()) {
                    drop(workspace)
                } else if (lane.deficit <= 0) {
                    order.addLast(order.removeFirst())
                }
                return true
            }
            order.addLast(order.removeFirst())
        }
        return false
    }

    private fun drop(workspace: WorkspaceId) {
        lanes.remove(workspace)
        order.remove(workspace)
    }
}
