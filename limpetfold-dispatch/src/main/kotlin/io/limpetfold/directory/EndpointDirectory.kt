package io.limpetfold.directory

import io.limpetfold.core.EndpointId
import java.time.Duration

/**
 * The endpoints that calls may be sent to, from the lists and changes of a watched store. Not safe for concurrent use.
 *
 * Entries lapse while the store is away. An endpoint that is missing right after an outage stays usable for [DirectoryPolicy.returnGrace],
 * unless it was draining. All times are monotonic, since the start of the process.
 */
class EndpointDirectory(
    private val policy: DirectoryPolicy = DirectoryPolicy(),
) {
    private class Entry(
        var endpoint: Endpoint,
        var removeAt: Duration? = null,
    )

    private val entries = LinkedHashMap<EndpointId, Entry>()
    private var isStoreLost = false
    private var graceEnd: Duration = Duration.ZERO

    /** The position of the store's history that this directory reflects. */
    var position: Long = 0
        private set

    /** Whether a list was read, from the store or from a peer. */
    val isInitialized: Boolean get() = position > 0

    /** Notes that the store does not answer. */
    fun onStoreUnavailable() {
        isStoreLost = true
    }

    /** Notes an answer of the store at [now]. */
    fun onStoreAvailable(now: Duration) {
        if (!isStoreLost) return
        isStoreLost = false
        graceEnd = now + policy.returnGrace
    }

    /** Takes the complete list as of [listPosition]. A list older than what is known changes nothing. */
    fun applyList(
        endpoints: List<Endpoint>,
        listPosition: Long,
        now: Duration,
    ) {
        if (listPosition < position) return
        position = listPosition
        val present = endpoints.mapTo(HashSet()) { it.endpoint }
        endpoints.forEach { put(it) }
        entries.keys.filter { it !in present }.forEach { remove(it, now) }
    }

    /** Takes changes up to [changePosition]. */
    fun applyChanges(
        endpoints: List<Endpoint>,
        removed: Collection<EndpointId>,
        changePosition: Long,
        now: Duration,
    ) {
        if (changePosition < position) return
        position = changePosition
        endpoints.forEach { put(it) }
        removed.forEach { remove(it, now) }
    }

    /** All known endpoints, also those that drain. */
    fun all(now: Duration): List<Endpoint> {
        entries.values.removeIf { entry -> entry.removeAt?.let { it <= now } ?: false }
        return entries.values.map { it.endpoint }
    }

    /** The endpoints of [service] that may get new calls. */
    fun usable(
        service: String,
        now: Duration,
    ): List<Endpoint> = all(now).filter { it.service == service && !it.isDraining }

    /** Whether [endpoint] may still get a new call. */
    fun isUsable(
        endpoint: Endpoint,
        now: Duration,
    ): Boolean {
        val entry = entries[endpoint.endpoint] ?: return false
        val isGone = entry.removeAt?.let { it <= now } ?: false
        return !isGone && !entry.endpoint.isDraining && entry.endpoint.startedAtMillis == endpoint.startedAtMillis
    }

    private fun put(endpoint: Endpoint) {
        entries[endpoint.endpoint] = Entry(endpoint)
    }

    private fun remove(
        id: EndpointId,
        now: Duration,
    ) {
        val entry = entries[id] ?: return
        val isInGrace = isStoreLost || now < graceEnd
        if (entry.endpoint.isDraining || !isInGrace) {
            entries.remove(id)
        } else if (entry.removeAt == null) {
            entry.removeAt = if (isStoreLost) now + policy.returnGrace else graceEnd
        }
    }
}
