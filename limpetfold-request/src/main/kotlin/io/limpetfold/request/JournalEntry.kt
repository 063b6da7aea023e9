package io.limpetfold.request

import kotlinx.serialization.Serializable

/**
 * What the journal knows of a request; at least one record is present.
 *
 * The records are those of the latest holder seen. [closed] is null while the request runs, or when its router died.
 */
@Serializable
data class JournalEntry(
    val opened: OpenedRecord? = null,
    val closed: ClosedRecord? = null,
) {
    /** Combines two views of one request; a closed record is never lost, and of two openings the one after more takeovers is the latest. */
    fun merge(other: JournalEntry): JournalEntry =
        JournalEntry(listOfNotNull(other.opened, opened).maxByOrNull { it.takeovers }, closed ?: other.closed)
}
