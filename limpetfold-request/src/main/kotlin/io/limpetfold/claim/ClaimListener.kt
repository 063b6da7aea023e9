package io.limpetfold.claim

import io.limpetfold.store.StoreError

/** Observes a [ClaimRegistry]; calls must return quickly. */
interface ClaimListener {
    /** A write carried [operations] claims, completions and removals. */
    fun onWritten(
        shard: Int,
        operations: Int,
    ) = Unit

    /** A write failed. */
    fun onWriteFailed(
        shard: Int,
        error: StoreError,
    ) = Unit

    /** A claim was too old to be forwarded, as after a pause of the process. */
    fun onForwardTooLate() = Unit

    companion object {
        val NONE: ClaimListener = object : ClaimListener {}
    }
}
