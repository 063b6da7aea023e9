package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration

/**
 * The routers that sent a heartbeat, by instance; immutable.
 *
 * Times are monotonic durations since [Membership] was created.
 */
internal data class MemberTable(
    private val entries: PersistentMap<InstanceId, Entry> = persistentMapOf(),
) {
    data class Entry(
        val member: Member,
        val lastHeartbeatAt: Duration,
        val isUnreachable: Boolean = false,
    )

    /** The routers whose last heartbeat is within the timeout. */
    val reachable: ImmutableList<Member>
        get() =
            entries.values
                .filterNot { it.isUnreachable }
                .map { it.member }
                .sortedBy { it.instance }
                .toImmutableList()

    /** Applies [heartbeat]; one of an older incarnation is ignored, because a newer process runs on that instance. */
    fun applyHeartbeat(
        heartbeat: Heartbeat,
        now: Duration,
    ): Step {
        val known = entries[heartbeat.incarnation.instance]
        if (known != null && known.member.incarnation.number > heartbeat.incarnation.number) return Step(this)
        val member = heartbeat.toMember()
        val changes =
            buildList {
                if (known != null && known.member.incarnation != member.incarnation) {
                    add(MemberChange.Ended(known.member.incarnation))
                }
                if (known == null || known.isUnreachable || known.member.incarnation != member.incarnation) {
                    add(MemberChange.Joined(member))
                }
            }
        return Step(MemberTable(entries.put(member.instance, Entry(member, now))), changes.toImmutableList())
    }

    /** Marks the members as unreachable whose last heartbeat is older than [timeout]. */
    fun expire(
        now: Duration,
        timeout: Duration,
    ): Step {
        val expired = entries.values.filter { !it.isUnreachable && now - it.lastHeartbeatAt > timeout }
        var next = entries
        for (entry in expired) {
            next = next.put(entry.member.instance, entry.copy(isUnreachable = true))
        }
        return Step(MemberTable(next), expired.map { MemberChange.Unreachable(it.member) }.toImmutableList())
    }

    /** The newest incarnation of [instance] that sent a heartbeat, even if it is unreachable now. */
    fun newestIncarnation(instance: InstanceId): Incarnation? = entries[instance]?.member?.incarnation

    /** Evicts unreachable instances except those that [isRetained]; otherwise replaced instances would accumulate. */
    fun evictUnreachable(isRetained: (InstanceId) -> Boolean): MemberTable {
        var next = entries
        for ((instance, entry) in entries) {
            if (entry.isUnreachable && !isRetained(instance)) next = next.remove(instance)
        }
        return MemberTable(next)
    }

    /** A new table and the changes that led to it. */
    data class Step(
        val table: MemberTable,
        val changes: ImmutableList<MemberChange> = emptyList<MemberChange>().toImmutableList(),
    )

    private fun Heartbeat.toMember() = Member(incarnation, zone, generation, seat, isDraining, directoryPosition)
}
