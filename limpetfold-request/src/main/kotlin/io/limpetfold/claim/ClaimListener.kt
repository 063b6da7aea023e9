package io.limpetfold.claim

import io.limpetfold.store.StoreError

/** Observes a [ClaimRegistry]; calls must return quickly. */
interface ClaimListener {
    /** A batch of [operationCount] claims, completions and removals was written to [shard]. */
    fun onWritten(
        shard: Int,
        operationCount: Int,
    ) = Unit

    /** A batch could not be written to [shard], or its outcome is unknown. */
    fun onWriteFailed(
        shard: Int,
        error: StoreError,
    ) = Unit

    /** The body of a completed call could not be written; its duplicates get the status only. */
    fun onBodyNotStored(
        shard: Int,
        error: StoreError,
    ) = Unit

    /** A call was not forwarded because its claim was too old, for example after a pause of the process. */
    fun onForwardTooLate() = Unit

    companion object {
        val NONE: ClaimListener = object : ClaimListener {}
    }
}
