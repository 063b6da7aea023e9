package io.limpetfold.store

/** Is told when the store has begun a new era, that is, when it has come back from an older copy. */
fun interface EraListener {
    /**
     * A response or a peer reported era [current] for the first time; what was written since the copy was made is gone. Called on the
     * thread that learnt of it; must not block.
     */
    fun onEraChanged(
        previous: Long,
        current: Long,
    )

    companion object {
        /** Ignores all changes. */
        val NONE: EraListener = EraListener { _, _ -> }
    }
}
