package io.limpetfold.quarantine

import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * What the store keeps of a [PromptPartQuarantine], so that it outlasts a restart of all routers.
 *
 * Times are ages as of the last write. A reader takes them as ages as of its read, because no clock tells how long ago
 * the write was; writers therefore renew the object while a quarantine lasts.
 *
 * @property crashes crashes whose cause is not known, with the parts that were contained in no answered call.
 * @property quarantined parts in quarantine. Negative remaining times belong to quarantines that have ended and that one
 * further crash starts again.
 */
@Serializable
data class StoredQuarantine(
    val crashes: List<CrashReport> = emptyList(),
    val quarantined: List<QuarantinedPartReport> = emptyList(),
) {
    val isEmpty: Boolean get() = crashes.isEmpty() && quarantined.isEmpty()

    /** The same state, read [elapsed] later. */
    fun agedBy(elapsed: Duration): StoredQuarantine =
        StoredQuarantine(
            crashes.map { it.copy(ageMillis = it.ageMillis + elapsed.toMillis()) },
            quarantined.map { it.copy(remainingMillis = it.remainingMillis - elapsed.toMillis()) },
        )

    /** Whether this contains as many crashes of each endpoint as [other], with all of their parts, and its quarantines. */
    fun covers(other: StoredQuarantine): Boolean =
        other.crashes.groupBy { it.endpoint }.all { (endpoint, wanted) ->
            val own = crashes.filter { it.endpoint == endpoint }
            own.size >= wanted.size && partsOf(own).containsAll(partsOf(wanted))
        } &&
            other.quarantined.all { wanted ->
                quarantined.any { it.part == wanted.part && it.durationMillis >= wanted.durationMillis }
            }

    private fun partsOf(crashes: List<CrashReport>) = crashes.flatMapTo(HashSet()) { it.prompts.flatten() }
}
