package io.limpetfold.request

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** The journal entries kept by one router, bounded in count, bytes and age; safe for concurrent use. */
internal class JournalBuffer(
    private val timeSource: TimeSource,
    private val policy: JournalPolicy,
    private val listener: JournalListener,
) {
    private data class Key(
        val workspace: WorkspaceId,
        val request: RequestId,
    )

    private data class SpentKey(
        val holder: Incarnation,
        val workspace: WorkspaceId,
    )

    private class BufferedEntry(
        val entry: JournalEntry,
        val updatedAt: TimeMark,
        val bytes: Long,
    )

    /** Ordered by the last update, oldest first. */
    private val entries = LinkedHashMap<Key, BufferedEntry>()
    private val spentTotals = LinkedHashMap<SpentKey, Long>()

    var bytes = 0L
        private set
    val size: Int @Synchronized get() = entries.size

    @Synchronized
    fun store(batch: JournalBatch) {
        batch.opened.forEach { merge(Key(it.workspace, it.request), JournalEntry(opened = it)) }
        batch.closed.forEach {
            merge(Key(it.workspace, it.request), JournalEntry(closed = it))
            raiseSpentTotal(SpentKey(it.holder, it.workspace), it.cumulativeSpentTokens)
        }
        expire()
    }

    @Synchronized
    fun find(
        workspace: WorkspaceId,
        request: RequestId,
    ): JournalEntry? {
        expire()
        return entries[Key(workspace, request)]?.entry
    }

    @Synchronized
    fun spentTotal(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? = spentTotals[SpentKey(holder, workspace)]

    @Synchronized
    fun expire() {
        val oldestFirst = entries.entries.iterator()
        while (oldestFirst.hasNext()) {
            val buffered = oldestFirst.next().value
            val isExpired = buffered.updatedAt.elapsedNow() >= policy.retention.toKotlinDuration()
            if (!isExpired && entries.size <= policy.maxEntries && bytes <= policy.maxBytes) return
            if (!isExpired) listener.onEvictedEarly()
            bytes -= buffered.bytes
            oldestFirst.remove()
        }
    }

    private fun merge(
        key: Key,
        added: JournalEntry,
    ) {
        val known = entries.remove(key)
        if (known != null) bytes -= known.bytes
        val entry = known?.entry?.merge(added) ?: added
        val buffered = BufferedEntry(entry, timeSource.markNow(), sizeOf(entry))
        bytes += buffered.bytes
        entries[key] = buffered
    }

    /** Records may arrive late and out of order; a total never decreases, so the largest one is the latest. */
    private fun raiseSpentTotal(
        key: SpentKey,
        tokens: Long,
    ) {
        val largest = maxOf(tokens, spentTotals.remove(key) ?: 0)
        spentTotals[key] = largest
        if (spentTotals.size > policy.maxSpentTotals) spentTotals.remove(spentTotals.keys.first())
    }

    private fun sizeOf(entry: JournalEntry): Long {
        val opened = entry.opened?.let { sizeOf(it.workspace, it.request, it.holder) + it.endpoint.value.length } ?: 0
        val closed = entry.closed?.let { sizeOf(it.workspace, it.request, it.holder) } ?: 0
        return ENTRY_BYTES + (opened + closed) * BYTES_PER_CHARACTER
    }

    private fun sizeOf(
        workspace: WorkspaceId,
        request: RequestId,
        holder: Incarnation,
    ): Int = workspace.value.length + request.value.length + holder.instance.value.length

    private companion object {
        /** Estimated heap size of an entry with both records on a 64-bit JVM: objects, map node and numbers. */
        const val ENTRY_BYTES = 400L

        /** Maximum size of a character in a JVM string. */
        const val BYTES_PER_CHARACTER = 2
    }
}
