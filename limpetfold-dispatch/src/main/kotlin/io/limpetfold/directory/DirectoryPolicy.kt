package io.limpetfold.directory

import java.time.Duration

/**
 * Timings and limits of an [EndpointDirectory].
 *
 * @property returnGrace how long entries that are missing after an outage or a restore of the store stay in use. Live
 * endpoints are listed again within about two seconds after the store is available again.
 * @property removalMemory how long a removal is remembered, in case the store comes back from a copy that is older.
 * @property maxRemovals the number of removals that are remembered; the oldest are dropped first.
 * @property withheldTime how long an entry that a restored store lists again although it was removed stays unused if
 * it is not written again, counted from the first list of each era. The store removes the entries of endpoints that are
 * gone after a few seconds of silence, so one that is still listed belongs to a live endpoint whose entry has not
 * changed.
 */
data class DirectoryPolicy(
    val returnGrace: Duration = RETURN_GRACE,
    val removalMemory: Duration = REMOVAL_MEMORY,
    val maxRemovals: Int = MAX_REMOVALS,
    val withheldTime: Duration = WITHHELD_TIME,
) {
    private companion object {
        val RETURN_GRACE: Duration = Duration.ofMillis(1_900)
        val REMOVAL_MEMORY: Duration = Duration.ofMinutes(5)
        const val MAX_REMOVALS = 1_000
        val WITHHELD_TIME: Duration = Duration.ofSeconds(10)
    }
}
