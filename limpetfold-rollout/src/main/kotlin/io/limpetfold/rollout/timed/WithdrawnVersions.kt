package io.limpetfold.rollout.timed

import java.time.Duration

/**
 * The last known trial of each version, kept when its order was replaced or removed, because the endpoints of a
 * withdrawn version run for some time after that.
 *
 * A trial is forgotten [RETENTION] after the last endpoint of its version is gone, or when [MAX_TRIALS] later ones are
 * known. Times are monotonic. Not safe for concurrent use.
 */
internal class WithdrawnVersions {
    private class Entry(
        val trial: VersionTrial,
        var lastPresentAt: Duration,
        var isPresent: Boolean,
    )

    private val entries = LinkedHashMap<ServiceVersion, Entry>()

    val trials: List<VersionTrial> get() = entries.values.map { it.trial }

    /** Whether a withdrawn version still had endpoints at the last [update]. */
    val isAnyPresent: Boolean get() = entries.values.any { it.trial.isWithdrawn && it.isPresent }

    /** Records [trial] unless a later one of the same version is known. */
    fun add(
        trial: VersionTrial,
        now: Duration,
    ) {
        val known = entries[trial.version]
        if (known != null && !trial.isLaterThan(known.trial)) return
        entries[trial.version] = Entry(trial, now, isPresent = known?.isPresent == true)
        if (entries.size > MAX_TRIALS) entries.remove(entries.minBy { it.value.lastPresentAt }.key)
    }

    /** Returns the withdrawn versions of [service]. */
    fun of(service: String): Set<ServiceVersion> =
        entries.filter { it.key.service == service && it.value.trial.isWithdrawn }.keys

    /** Records which versions have endpoints, and forgets what is no longer needed. */
    fun update(
        present: Set<ServiceVersion>,
        now: Duration,
    ) {
        for ((version, entry) in entries) {
            entry.isPresent = version in present
            if (entry.isPresent) entry.lastPresentAt = now
        }
        entries.values.removeIf { now - it.lastPresentAt > RETENTION }
    }

    companion object {
        /** Covers endpoints whose entries are missing for a while, for example after an outage of the store. */
        val RETENTION: Duration = Duration.ofMinutes(10)

        /** Bounds the memory and the size of the messages to other routers. */
        const val MAX_TRIALS = 64
    }
}
