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
 */
class EndpointDirectory(
    private val policy: DirectoryPolicy = DirectoryPolicy(),
) {
    private class Entry(
        val endpoint: Endpoint,
        val warmAt: Duration,
        var expiresAt: Duration? = null,
    )

    private val entries = LinkedHashMap<EndpointId, Entry>()
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

    /** Applies the complete list as of [listPosition]; a list older than [position] is ignored. */
    fun applyList(
        endpoints: List<Endpoint>,
        listPosition: ObjectVersion,
        now: Duration,
    ) {
        if (listPosition < position) return
        position = listPosition
        val present = endpoints.mapTo(HashSet()) { it.id }
        endpoints.forEach { put(it, now) }
        entries.keys.filter { it !in present }.forEach { remove(it, now) }
    }

    /** Applies changes up to [changePosition]; changes older than [position] are ignored. */
    fun applyChanges(
        endpoints: List<Endpoint>,
        removed: Collection<EndpointId>,
        changePosition: ObjectVersion,
        now: Duration,
    ) {
        if (changePosition < position) return
        position = changePosition
        endpoints.forEach { put(it, now) }
        removed.forEach { remove(it, now) }
    }

    /** Returns all known endpoints, including draining ones. */
    fun all(now: Duration): List<Endpoint> {
        entries.values.removeIf { entry -> entry.expiresAt?.let { it <= now } ?: false }
        return entries.values.map { it.endpoint }
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
        val isExpired = entry.expiresAt?.let { it <= now } ?: false
        return !isExpired && !entry.endpoint.isDraining && entry.endpoint.startedAtMillis == endpoint.startedAtMillis
    }

    /**
     * Returns whether [endpoint] is still slow after its start, counted from when its entry was read: clocks of other
     * instances don't have to agree with that of this one.
     */
    fun isCold(
        endpoint: Endpoint,
        now: Duration,
    ): Boolean = entries[endpoint.id]?.let { now < it.warmAt } ?: false

    /** An entry that is read again, such as after an outage of the store, does not make its incarnation cold again. */
    private fun put(
        endpoint: Endpoint,
        now: Duration,
    ) {
        val warmAt = now + Duration.ofMillis(endpoint.coldMillis)
        val known = entries[endpoint.id]?.takeIf { it.endpoint.startedAtMillis == endpoint.startedAtMillis }
        entries[endpoint.id] = Entry(endpoint, if (known == null) warmAt else minOf(known.warmAt, warmAt))
    }

    private fun remove(
        id: EndpointId,
        now: Duration,
    ) {
        val entry = entries[id] ?: return
        val isInGrace = isStoreUnavailable || now < graceEnd
        if (entry.endpoint.isDraining || !isInGrace) {
            entries.remove(id)
        } else if (entry.expiresAt == null) {
            entry.expiresAt = if (isStoreUnavailable) now + policy.returnGrace else graceEnd
        }
    }
}
