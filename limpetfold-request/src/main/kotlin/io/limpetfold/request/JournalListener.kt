package io.limpetfold.request

import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/** Observes a [RequestJournal]; calls must return quickly. */
interface JournalListener {
    /** A record of a request was acknowledged by [acknowledged] peers, fewer than [JournalPolicy.copies]. */
    fun onCopiesMissing(
        workspace: WorkspaceId,
        request: RequestId,
        acknowledged: Int,
    ) = Unit

    /** An entry was evicted before the end of its retention time, because the maximum count or size was exceeded. */
    fun onEvictedEarly() = Unit

    companion object {
        val NONE: JournalListener = object : JournalListener {}
    }
}
