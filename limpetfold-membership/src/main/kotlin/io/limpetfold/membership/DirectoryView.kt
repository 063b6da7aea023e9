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
 * The last copy of the platform's list, with the time since when each known instance is missing from it; a pure value.
 *
 * A copy that a peer gave shows where instances are, but never that one is missing: the peer's copy may be old.
 */
internal data class DirectoryView(
    val instances: ImmutableList<ListedInstance> = persistentListOf(),
    private val missingSince: PersistentMap<InstanceId, Duration> = persistentMapOf(),
    private val isFromPlatform: Boolean = false,
) {
    /** The listed routers; worked out once, as each call asks how many there are. */
    val routers: ImmutableList<ListedInstance> by lazy { service(ListedInstance.ROUTER_SERVICE) }

    val isEmpty: Boolean get() = instances.isEmpty()

    fun service(name: String): ImmutableList<ListedInstance> = instances.filter { it.service == name }.toImmutableList()

    /** Takes a reading of the platform's list; [known] are instances whose absence matters. */
    fun read(
        listed: List<ListedInstance>,
        known: Set<InstanceId>,
        now: Duration,
    ): DirectoryView {
        val present = listed.mapTo(HashSet()) { it.instance }
        val before = instances.map { it.instance } + missingSince.keys + known
        val missing = before.toSet().filter { it !in present }.associateWith { missingSince[it] ?: now }
        val kept = missing.filterValues { now - it < FORGET_AFTER }
        return DirectoryView(listed.toImmutableList(), kept.toPersistentMap(), isFromPlatform = true)
    }

    /** Takes a peer's copy when this router has no list of its own. */
    fun copied(listed: List<ListedInstance>): DirectoryView =
        if (isFromPlatform || !isEmpty) this else copy(instances = listed.toImmutableList())

    /** How long the platform's list has not shown [instance]; null while it is listed or was never known. */
    fun absence(
        instance: InstanceId,
        now: Duration,
    ): Duration? = missingSince[instance]?.let { now - it }

    private companion object {
        /** Bounds the memory for replaced instances: 140 a day at the target size. */
        val FORGET_AFTER = Duration.parse("1d")
    }
}
