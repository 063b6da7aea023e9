package io.limpetfold.request

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** Journal entries held by one router, bounded in count, bytes and age; safe for concurrent use. */
internal class JournalBuffer(
    private val timeSource: TimeSource,
    private val policy: JournalPolicy,
    private val listener: JournalListener,
) {
    private data class Key(
        val workspace: WorkspaceId,
        val request: RequestId,
    )

    private data class Account(
        val holder: Incarnation,
        val workspace: WorkspaceId,
    )

    private class Held(
        val entry: JournalEntry,
        val since: TimeMark,
        val bytes: Long,
    )

    /** In the order of the last change, which is also the order of age. */
    private val entries = LinkedHashMap<Key, Held>()
    private val spent = LinkedHashMap<Account, Long>()

    var bytes = 0L
        private set
    val size: Int @Synchronized get() = entries.size

    @Synchronized
    fun store(batch: JournalBatch) {
        batch.opened.forEach { merge(Key(it.workspace, it.request), JournalEntry(opened = it)) }
        batch.closed.forEach {
            merge(Key(it.workspace, it.request), JournalEntry(closed = it))
            raise(Account(it.holder, it.workspace), it.cumulativeSpentTokens)
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
    fun spent(
        holder: Incarnation,
        workspace: WorkspaceId,
    ): Long? = spent[Account(holder, workspace)]

    @Synchronized
    fun expire() {
        val oldestFirst = entries.entries.iterator()
        while (oldestFirst.hasNext()) {
            val held = oldestFirst.next().value
            val isOld = held.since.elapsedNow() >= policy.life.toKotlinDuration()
            if (!isOld && entries.size <= policy.maxEntries && bytes <= policy.maxBytes) return
            if (!isOld) listener.onDroppedEarly()
            bytes -= held.bytes
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
        val held = Held(entry, timeSource.markNow(), sizeOf(entry))
        bytes += held.bytes
        entries[key] = held
    }

    /** Records may arrive late and out of order, so the largest total is the latest. */
    private fun raise(
        account: Account,
        tokens: Long,
    ) {
        val largest = maxOf(tokens, spent.remove(account) ?: 0)
        spent[account] = largest
        if (spent.size > policy.maxSpentTotals) spent.remove(spent.keys.first())
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
        /** Objects, map node and numbers of an entry with both records, as laid out by a 64-bit JVM; an estimate. */
        const val ENTRY_BYTES = 400L

        /** Upper bound of a character in a JVM string. */
        const val BYTES_PER_CHARACTER = 2
    }
}
