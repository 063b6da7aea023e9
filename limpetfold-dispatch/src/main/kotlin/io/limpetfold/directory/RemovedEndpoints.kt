package io.limpetfold.directory

import io.limpetfold.core.EndpointId
import java.time.Duration

/**
 * Endpoints whose entries were removed, and the listed entries that are withheld because a restored store brought them
 * back. Not safe for concurrent use.
 */
internal class RemovedEndpoints(
    private val policy: DirectoryPolicy,
) {
    private class Removal(
        val startedAtMillis: Long,
        val highestRevision: Long,
        val at: Duration,
    )

    private class Withheld(
        val endpoint: Endpoint,
        val until: Duration,
    )

    private val removals = LinkedHashMap<EndpointId, Removal>()
    private val withheld = LinkedHashMap<EndpointId, Withheld>()

    /** Records that the store has no entry of [endpoint], of which [highestRevision] is the highest known revision. */
    fun record(
        endpoint: Endpoint,
        highestRevision: Long,
        now: Duration,
    ) {
        removals.remove(endpoint.id)
        removals[endpoint.id] = Removal(endpoint.startedAtMillis, highestRevision, now)
        if (removals.size > policy.maxRemovals) removals.remove(removals.keys.first())
    }

    /** The highest revision known of [id], its removal included, in any era; null if no removal of it is known. */
    fun highestRevision(id: EndpointId): Long? = removals[id]?.highestRevision

    /** Withholds [listed], whose entry was not written again, and returns true if its removal is remembered. */
    fun withhold(
        listed: Endpoint,
        now: Duration,
    ): Boolean {
        if (!isRemoved(listed, now)) return false
        // A store that is restored again waits anew before it drops the entry of an endpoint that is gone.
        val known = withheld[listed.id]?.takeIf { it.endpoint.entryVersion.era == listed.entryVersion.era }
        val until = known?.until ?: (now + policy.withheldTime)
        withheld[listed.id] = Withheld(listed, until)
        return true
    }

    /** Forgets what is known of [id], because its entry is in use again. */
    fun forget(id: EndpointId) {
        removals.remove(id)
        withheld.remove(id)
    }

    /** Drops the withheld entry of [id], which the store no longer has; its removal stays known. */
    fun dropWithheld(id: EndpointId) {
        withheld.remove(id)
    }

    /** Drops the withheld entries that [isListed] does not hold for. */
    fun retainWithheld(isListed: (EndpointId) -> Boolean) {
        withheld.keys.removeIf { !isListed(it) }
    }

    /** Returns the withheld endpoints whose time has ended. */
    fun due(now: Duration): List<Endpoint> {
        if (withheld.isEmpty()) return emptyList()
        return withheld.values.filter { it.until <= now }.map { it.endpoint }
    }

    private fun isRemoved(
        listed: Endpoint,
        now: Duration,
    ): Boolean {
        val removal = removals[listed.id] ?: return false
        return removal.startedAtMillis >= listed.startedAtMillis && now - removal.at < policy.removalMemory
    }
}
