package io.limpetfold.membership

import io.limpetfold.core.InstanceId
import io.limpetfold.peer.ListedInstance
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toPersistentMap
import kotlin.time.Duration

/**
 * The last copy of the platform's list of instances, with the time since when each known instance is missing from it;
 * immutable.
 *
 * A copy from a peer shows where instances are, but never proves that one is missing, because it may be stale.
 */
internal data class DirectoryView(
    val instances: ImmutableList<ListedInstance> = persistentListOf(),
    private val missingSince: PersistentMap<InstanceId, Duration> = persistentMapOf(),
    private val isFromPlatform: Boolean = false,
) {
    /** The listed routers; computed only once, because every call reads their number. */
    val routers: ImmutableList<ListedInstance> by lazy { instancesOf(ListedInstance.ROUTER_SERVICE) }

    val isEmpty: Boolean get() = instances.isEmpty()

    fun instancesOf(name: String): ImmutableList<ListedInstance> =
        instances.filter { it.service == name }.toImmutableList()

    /**
     * Returns the view after a read of the platform's list. The [reachable] routers that it lacks stay in the view as
     * they were: a platform that was restored from an older copy lists them again later. Their absence counts from
     * the first such read nevertheless.
     */
    fun withListing(
        listed: List<ListedInstance>,
        reachable: Set<InstanceId>,
        now: Duration,
    ): DirectoryView {
        val present = listed.mapTo(HashSet()) { it.instance }
        val tracked = instances.map { it.instance } + missingSince.keys + reachable
        val missing = tracked.toSet().filter { it !in present }.associateWith { missingSince[it] ?: now }
        val kept = missing.filterValues { now - it < MAX_TRACKED_ABSENCE }
        val alive = instances.filter { it.instance in missing && it.instance in reachable }
        return DirectoryView((listed + alive).toImmutableList(), kept.toPersistentMap(), isFromPlatform = true)
    }

    /** Returns the view with a peer's copy of the list, unless this router has a list already. */
    fun withPeerCopy(listed: List<ListedInstance>): DirectoryView =
        if (isFromPlatform || !isEmpty) this else copy(instances = listed.toImmutableList())

    /** How long [instance] has been missing from the platform's list; null while it is listed or if it is not known. */
    fun absenceDuration(
        instance: InstanceId,
        now: Duration,
    ): Duration? = missingSince[instance]?.let { now - it }

    private companion object {
        /** Bounds the memory for replaced instances, 140 a day at the target size of a fleet. */
        val MAX_TRACKED_ABSENCE = Duration.parse("1d")
    }
}
