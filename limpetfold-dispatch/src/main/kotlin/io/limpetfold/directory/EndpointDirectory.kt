package io.limpetfold.directory

import io.limpetfold.core.EndpointId
import io.limpetfold.store.ObjectVersion
import java.time.Duration

/**
 * The endpoints that calls may be sent to, from the lists and changes of a watched store. Not safe for concurrent use.
 *
 * Entries of live endpoints may expire in the store during an outage. An endpoint that is missing right after an outage
 * therefore stays usable for [DirectoryPolicy.returnGrace], unless it was draining. All times are monotonic and measured
 * from the start of the process.
 *
 * A list of a later era than [position] comes from a store that was restored from an older copy. An endpoint that is
 * missing from it, because it registered after the copy was made, has the same grace. What was known to be draining or
 * removed is not undone by the copy, but only by an entry of a later start, or by one that was written since. After several
 * restores a copy may be newer than the one before it, so revisions are compared with the highest that was seen of the
 * endpoint's entry in any era.
 */
class EndpointDirectory(
    private val policy: DirectoryPolicy = DirectoryPolicy(),
) {
    private class Entry(
        val endpoint: Endpoint,
        val warmAt: Duration,
        val highestRevision: Long,
        var expiry: Expiry? = null,
    )

    /** When an entry that the store lacks as of [missingAt] ends. */
    private class Expiry(
        val at: Duration,
        val missingAt: ObjectVersion,
    )

    private val entries = LinkedHashMap<EndpointId, Entry>()
    private val removed = RemovedEndpoints(policy)
    private var isStoreUnavailable = false
    private var graceEnd: Duration = Duration.ZERO

    /** The position in the store's history that this directory reflects. */
    var position: ObjectVersion = ObjectVersion.NONE
        private set

    /** Whether a list was applied, from the store or from a peer. */
    val isInitialized: Boolean get() = position > ObjectVersion.NONE

    /** Records that the store does not respond. */
    fun onStoreUnavailable() {
        isStoreUnavailable = true
    }

    /** Records that the store responded at [now]; after an outage this starts the grace period. */
    fun onStoreAvailable(now: Duration) {
        if (!isStoreUnavailable) return
        isStoreUnavailable = false
        graceEnd = now + policy.returnGrace
    }

    /** Applies the complete list as of [listPosition]; returns null for a list older than [position], which is ignored. */
    fun applyList(
        endpoints: List<Endpoint>,
        listPosition: ObjectVersion,
        now: Duration,
    ): DirectoryChange? {
        if (listPosition < position) return null
        val isFirstOfEra = isInitialized && listPosition.era > position.era
        val previous = position
        position = listPosition
        val (withheld, present) =
            endpoints
                .map { it.orWrittenAt(listPosition) }
                .filterNot { isOfEarlierStart(it, previous) }
                .partition { !isWrittenAgain(it, previous) && removed.withhold(it, now) }
        removed.retainWithheld(withheld.mapTo(HashSet()) { it.id }::contains)
        val added = present.count { it.id !in entries }
        val stillDraining = present.count { put(it, isWrittenAgain(it, previous), now) }
        val ids = present.mapTo(HashSet()) { it.id }
        val missing = entries.values.filter { it.endpoint.id !in ids }
        // An entry whose expiry has begun keeps it: a further list of the same store says nothing new about it.
        missing.filter { it.expiry == null }.forEach { remove(it, now, isFirstOfEra) }
        return DirectoryChange(added, missing.size, withheld.size, stillDraining)
    }

    /**
     * Applies changes up to [changePosition], which must follow a list of the same era: each entry in them was written
     * again. Changes older than [position] are ignored.
     */
    fun applyChanges(
        endpoints: List<Endpoint>,
        removed: Collection<EndpointId>,
        changePosition: ObjectVersion,
        now: Duration,
    ) {
        if (changePosition < position) return
        position = changePosition
        for (endpoint in endpoints) {
            put(endpoint.orWrittenAt(changePosition), isWrittenAgain = true, now)
        }
        for (id in removed) {
            this.removed.dropWithheld(id)
            entries[id]?.let { remove(it, now, isFirstOfEra = false) }
        }
    }

    /** Returns all known endpoints, including draining ones. */
    fun all(now: Duration): List<Endpoint> {
        update(now)
        return entries.values.map { it.endpoint }
    }

    /** Returns the endpoints that the store has, as far as is known; those that are missing from it are left out. */
    fun listed(now: Duration): List<Endpoint> {
        update(now)
        return entries.values.filter { it.expiry == null }.map { it.endpoint }
    }

    /** Returns the endpoints of [service] that may get new calls. */
    fun usable(
        service: String,
        now: Duration,
    ): List<Endpoint> = all(now).filter { it.service == service && !it.isDraining }

    /** Returns whether this incarnation of [endpoint] may still get new calls. */
    fun isUsable(
        endpoint: Endpoint,
        now: Duration,
    ): Boolean {
        val entry = entries[endpoint.id] ?: return false
        return !entry.isExpired(now) &&
            !entry.endpoint.isDraining &&
            entry.endpoint.startedAtMillis == endpoint.startedAtMillis
    }

    /**
     * Returns whether [endpoint] is still slow after its start, counted from when its entry was read: clocks of other
     * instances don't have to agree with that of this one.
     */
    fun isCold(
        endpoint: Endpoint,
        now: Duration,
    ): Boolean = entries[endpoint.id]?.let { now < it.warmAt } ?: false

    /** Ends what has expired, and uses withheld endpoints whose time has ended. */
    private fun update(now: Duration) {
        entries.values.removeIf { entry ->
            entry.isExpired(now).also { if (it) recordRemoval(entry, checkNotNull(entry.expiry).missingAt, now) }
        }
        removed.due(now).forEach { put(it, isWrittenAgain = false, now) }
    }

    /**
     * Puts [endpoint] and returns whether it stays draining although it is listed as ready. An entry that is read again,
     * such as after an outage of the store, does not make its incarnation cold again.
     */
    private fun put(
        endpoint: Endpoint,
        isWrittenAgain: Boolean,
        now: Duration,
    ): Boolean {
        val highestRevision = maxOf(endpoint.entryVersion.revision, highestRevision(endpoint.id) ?: 0)
        removed.forget(endpoint.id)
        val warmAt = now + Duration.ofMillis(endpoint.coldMillis)
        val known = entries[endpoint.id]?.takeIf { it.endpoint.startedAtMillis == endpoint.startedAtMillis }
        val isStillDraining =
            known != null &&
                known.endpoint.isDraining &&
                !endpoint.isDraining &&
                !isWrittenAgain
        entries[endpoint.id] =
            Entry(
                if (isStillDraining) endpoint.copy(isDraining = true) else endpoint,
                if (known == null) warmAt else minOf(known.warmAt, warmAt),
                highestRevision,
            )
        return isStillDraining
    }

    private fun remove(
        entry: Entry,
        now: Duration,
        isFirstOfEra: Boolean,
    ) {
        val isInGrace = isStoreUnavailable || isFirstOfEra || now < graceEnd
        if (entry.endpoint.isDraining || !isInGrace) {
            entries.remove(entry.endpoint.id)
            recordRemoval(entry, position, now)
        } else if (entry.expiry == null) {
            val end = if (isStoreUnavailable || isFirstOfEra) now + policy.returnGrace else graceEnd
            entry.expiry = Expiry(end, position)
        }
    }

    private fun recordRemoval(
        entry: Entry,
        version: ObjectVersion,
        now: Duration,
    ) = removed.record(entry.endpoint, maxOf(entry.highestRevision, version.revision), now)

    /** Whether the entry in an older copy is of a process that a later one has replaced. */
    private fun isOfEarlierStart(
        listed: Endpoint,
        previous: ObjectVersion,
    ): Boolean {
        val known = entries[listed.id]?.endpoint ?: return false
        return listed.startedAtMillis < known.startedAtMillis && !isWrittenAgain(listed, previous)
    }

    /**
     * Whether the entry of [listed] is known to be written after everything that was seen of it before its list, which
     * follows [previous]: its revision is above [previous] in the same era, or above all that were seen of the entry in
     * any era. The latter errs towards false, since a write of a later era may have a lower revision.
     */
    private fun isWrittenAgain(
        listed: Endpoint,
        previous: ObjectVersion,
    ): Boolean {
        val version = listed.entryVersion
        return (version.era == previous.era && version > previous) ||
            version.revision > (highestRevision(listed.id) ?: -1)
    }

    /** The highest revision seen of the entry of [id], its removals included, in any era and of any start. */
    private fun highestRevision(id: EndpointId): Long? = entries[id]?.highestRevision ?: removed.highestRevision(id)

    private fun Entry.isExpired(now: Duration) = expiry.let { it != null && it.at <= now }

    private fun Endpoint.orWrittenAt(version: ObjectVersion) =
        if (entryVersion == ObjectVersion.NONE) copy(entryVersion = version) else this
}
