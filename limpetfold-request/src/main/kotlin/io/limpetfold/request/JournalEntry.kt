package io.limpetfold.request

import kotlinx.serialization.Serializable

/**
 * The journal records of one request; at least one is present.
 *
 * The records are those of the latest known holder. [closed] is null while the request runs, or when its router
 * crashed.
 */
@Serializable
data class JournalEntry(
    val opened: OpenedRecord? = null,
    val closed: ClosedRecord? = null,
) {
    /**
     * Combines the records of one request from two routers. A closed record is always kept; of two opened records, the
     * one with more takeovers is the latest.
     */
    fun merge(other: JournalEntry): JournalEntry =
        JournalEntry(listOfNotNull(other.opened, opened).maxByOrNull { it.takeovers }, closed ?: other.closed)
}
