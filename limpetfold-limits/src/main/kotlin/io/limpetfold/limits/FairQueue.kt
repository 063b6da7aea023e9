package io.limpetfold.limits

import io.limpetfold.core.WorkspaceId

/**
 * Waiting entries of one route, served by deficit round robin over workspaces; not safe for concurrent use.
 *
 * In each turn a workspace may have as many entries served as its weight. An entry that cannot be served yet stays at
 * the head of its workspace's queue, and the turn passes to the next workspace.
 */
internal class FairQueue<T>(
    private val weight: (WorkspaceId) -> Int,
) {
    private class WorkspaceQueue<T> {
        val entries = ArrayDeque<T>()
        var deficit = 0
    }

    private val queues = HashMap<WorkspaceId, WorkspaceQueue<T>>()
    private val order = ArrayDeque<WorkspaceId>()

    var size = 0
        private set

    fun add(
        workspace: WorkspaceId,
        entry: T,
    ) {
        val queue =
            queues.getOrPut(workspace) {
                order.addLast(workspace)
                WorkspaceQueue()
            }
        queue.entries.addLast(entry)
        size++
    }

    fun remove(
        workspace: WorkspaceId,
        entry: T,
    ): Boolean {
        val queue = queues[workspace] ?: return false
        val isRemoved = queue.entries.remove(entry)
        if (isRemoved) size--
        if (queue.entries.isEmpty()) removeWorkspace(workspace)
        return isRemoved
    }

    /** Removes and returns the newest entry of the workspace with the most entries in proportion to its weight. */
    fun removeLastOfLongest(): T? {
        val longest =
            queues.maxByOrNull {
                it.value.entries.size
                    .toDouble() / weight(it.key).coerceAtLeast(1)
            } ?: return null
        val last = longest.value.entries.removeLast()
        size--
        if (longest.value.entries.isEmpty()) removeWorkspace(longest.key)
        return last
    }

    /** Returns the entries grouped by workspace, in the present order of turns; for inspection only. */
    fun entries(): List<T> = order.flatMap { queues.getValue(it).entries }

    /**
     * Passes the oldest entry of each workspace in turn to [serve], until [serve] returns true for one, which is
     * removed.
     *
     * Returns whether an entry was served.
     */
    fun serveOne(serve: (T) -> Boolean): Boolean {
        repeat(order.size) {
            val workspace = order.first()
            val queue = queues.getValue(workspace)
            if (queue.deficit <= 0) queue.deficit += weight(workspace).coerceAtLeast(1)
            if (serve(queue.entries.first())) {
                queue.entries.removeFirst()
                size--
                queue.deficit--
                if (queue.entries.isEmpty()) {
                    removeWorkspace(workspace)
                } else if (queue.deficit <= 0) {
                    order.addLast(order.removeFirst())
                }
                return true
            }
            order.addLast(order.removeFirst())
        }
        return false
    }

    private fun removeWorkspace(workspace: WorkspaceId) {
        queues.remove(workspace)
        order.remove(workspace)
    }
}
