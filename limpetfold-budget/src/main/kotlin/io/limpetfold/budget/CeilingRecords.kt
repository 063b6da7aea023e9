package io.limpetfold.budget

import io.limpetfold.core.Incarnation
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import java.time.Duration

/** The ceilings that other routers have announced to this one; safe for concurrent use. */
internal class CeilingRecords(
    private val nowMillis: () -> Long,
) {
    private val records = HashMap<WorkspaceId, HashMap<String, Record>>()

    /** Remembers the ceiling of [announcement]; returns false when there is no room for it. */
    fun record(
        from: Incarnation,
        announcement: CeilingAnnouncement,
    ): Boolean =
        synchronized(records) {
            val holder = announcement.holder
            if (holder.instance != from.instance || holder.number < from.number) return false
            val known = records.getOrPut(announcement.workspace) { HashMap() }
            if (holder.key !in known && !hasRoom(known)) return false
            val tokens = maxOf(announcement.ceilingTokens, known[holder.key]?.tokens ?: 0)
            known[holder.key] = Record(tokens, nowMillis())
            true
        }

    /** The holders of [workspace] that announced their ceilings here. */
    fun witnessed(workspace: WorkspaceId): WitnessedHolders =
        synchronized(records) {
            val known = records[workspace].orEmpty()
            WitnessedHolders(
                known.mapValues { it.value.tokens }.toPersistentMap(),
                known.filterValues { it.isRecent() }.keys.toPersistentSet(),
            )
        }

    /** The workspaces with holders whose entry may be younger than a copy of the store. */
    fun recentWorkspaces(): List<WorkspaceId> =
        synchronized(records) {
            records.filterValues { known -> known.values.any { it.isRecent() } }.keys.sortedBy { it.value }
        }

    private fun hasRoom(known: HashMap<String, Record>): Boolean {
        if (known.size < MAX_HOLDERS && records.size <= MAX_WORKSPACES) return true
        records.values.forEach { holders -> holders.values.removeAll { !it.isRecent() } }
        records.values.removeAll { it.isEmpty() && it !== known }
        return known.size < MAX_HOLDERS && records.size <= MAX_WORKSPACES
    }

    private fun Record.isRecent() = nowMillis() - announcedAtMillis <= RECENT.toMillis()

    private class Record(
        val tokens: Long,
        val announcedAtMillis: Long,
    )

    companion object {
        /**
         * Longer than the age of a copy and the time after which a holder announces its ceiling again. An older entry is
         * in each copy, so it need not be named; its holder may have closed it long ago.
         */
        val RECENT: Duration = Duration.ofSeconds(90)

        private const val MAX_HOLDERS = 600
        private const val MAX_WORKSPACES = 4_096
    }
}
