package io.limpetfold.directory

import io.limpetfold.core.EndpointId
import io.limpetfold.store.ObjectVersion
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
        val version: ObjectVersion,
        val at: Duration,
    )

    private class Withheld(
        val endpoint: Endpoint,
        val until: Duration,
    )

    private val removals = LinkedHashMap<EndpointId, Removal>()
    private val withheld = LinkedHashMap<EndpointId, Withheld>()

    /** Records that the store had no entry of [endpoint] as of [version]. */
    fun record(
        endpoint: Endpoint,
        version: ObjectVersion,
        now: Duration,
    ) {
        removals.remove(endpoint.id)
        removals[endpoint.id] = Removal(endpoint.startedAtMillis, version, now)
        if (removals.size > policy.maxRemovals) removals.remove(removals.keys.first())
    }

    /** Withholds [listed] and returns true if its entry was removed and not written again since. */
    fun withhold(
        listed: Endpoint,
        now: Duration,
    ): Boolean {
        if (!isOutdated(listed, now)) {
            forget(listed.id)
            return false
        }
        val until = withheld[listed.id]?.until ?: (now + policy.withheldTime)
        withheld[listed.id] = Withheld(listed, until)
        return true
    }

    /** Forgets what is known of [id], because its entry was written again. */
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

    /** Returns and forgets the withheld endpoints whose time has ended. */
    fun takeDue(now: Duration): List<Endpoint> {
        if (withheld.isEmpty()) return emptyList()
        val due = withheld.values.filter { it.until <= now }.map { it.endpoint }
        due.forEach { forget(it.id) }
        return due
    }

    private fun isOutdated(
        listed: Endpoint,
        now: Duration,
    ): Boolean {
        val removal = removals[listed.id] ?: return false
        if (removal.startedAtMillis < listed.startedAtMillis || now - removal.at >= policy.removalMemory) return false
        val listedBefore = withheld[listed.id]?.endpoint?.entryVersion
        return !listed.entryVersion.isWrittenAfter(removal.version) &&
            (listedBefore == null || !listed.entryVersion.isWrittenAfter(listedBefore))
    }
}

/**
 * Whether an entry at this version was written after [known], also if the store was restored in between: an older copy
 * holds no revision above those that were seen before, so only a later write has one.
 */
internal fun ObjectVersion.isWrittenAfter(known: ObjectVersion): Boolean =
    if (era == known.era) this > known else revision > known.revision
