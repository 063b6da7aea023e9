package io.limpetfold.claim

/** One change of a shard within a batch; idempotent, so that the batch can be reapplied to a newer value. */
internal sealed interface ShardOperation {
    val hash: String
    val token: String

    /** Claims the key unless another claim holds it; an unfinished record whose token [isDisowned] may be replaced. */
    class Acquire(
        override val hash: String,
        override val token: String,
        val claimedAtMillis: Long,
        val isDisowned: (String) -> Boolean,
    ) : ShardOperation

    /** Records the response status of this router's own claim. */
    class Complete(
        override val hash: String,
        override val token: String,
        val status: Int,
    ) : ShardOperation

    /** Removes this router's own claim, whose call was not forwarded or did not start. */
    class Remove(
        override val hash: String,
        override val token: String,
    ) : ShardOperation
}
