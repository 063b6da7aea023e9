package io.limpetfold.membership

import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlin.time.Duration

/**
 * The routers that were heard, by instance; a pure value.
 *
 * Times are monotonic, counted from the start of the process.
 */
internal data class MemberTable(
    private val entries: PersistentMap<InstanceId, Entry> = persistentMapOf(),
) {
    data class Entry(
        val member: Member,
        val heardAt: Duration,
        val isSilent: Boolean = false,
    )

    /** The routers that were heard within the silence timeout. */
    val reachable: ImmutableList<Member>
        get() =
            entries.values
                .filterNot { it.isSilent }
                .map { it.member }
                .sortedBy { it.instance }
                .toImmutableList()

    /** Takes [heartbeat]; one of an older incarnation changes nothing, since a newer process runs on that instance. */
    fun heard(
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
                if (known == null || known.isSilent || known.member.incarnation != member.incarnation) {
                    add(MemberChange.Joined(member))
                }
            }
        return Step(MemberTable(entries.put(member.instance, Entry(member, now))), changes.toImmutableList())
    }

    /** Marks the members that were not heard since [now] minus [timeout]. */
    fun expire(
        now: Duration,
        timeout: Duration,
    ): Step {
        val expired = entries.values.filter { !it.isSilent && now - it.heardAt > timeout }
        var next = entries
        for (entry in expired) {
            next = next.put(entry.member.instance, entry.copy(isSilent = true))
        }
        return Step(MemberTable(next), expired.map { MemberChange.Silent(it.member) }.toImmutableList())
    }

    /** The newest incarnation heard of [instance], also when it is silent now. */
    fun newest(instance: InstanceId): Incarnation? = entries[instance]?.member?.incarnation

    /** Forgets instances that no longer exist, so that replaced ones do not add up. */
    fun retain(isKept: (InstanceId) -> Boolean): MemberTable {
        var next = entries
        for ((instance, entry) in entries) {
            if (entry.isSilent && !isKept(instance)) next = next.remove(instance)
        }
        return MemberTable(next)
    }

    /** A new table with what changed. */
    data class Step(
        val table: MemberTable,
        val changes: ImmutableList<MemberChange> = emptyList<MemberChange>().toImmutableList(),
    )

    private fun Heartbeat.toMember() = Member(incarnation, zone, generation, seat, isDraining, directoryPosition)
}
