package io.limpetfold.request

import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId

/** Observes a [RequestJournal]; calls must return quickly. */
interface JournalListener {
    /** A record of a request was acknowledged by [acknowledged] peers, fewer than the policy asks for. */
    fun onCopiesMissing(
        workspace: WorkspaceId,
        request: RequestId,
        acknowledged: Int,
    ) = Unit

    /** An entry was dropped before its age, because of the bound on count or bytes. */
    fun onDroppedEarly() = Unit

    companion object {
        val NONE: JournalListener = object : JournalListener {}
    }
}
