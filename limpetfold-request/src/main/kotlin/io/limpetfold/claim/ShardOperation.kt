package io.limpetfold.claim

/** One change of a shard within a batch; each is idempotent, so that a batch can be repeated on a newer value. */
internal sealed interface ShardOperation {
    val hash: String
    val token: String

    /** Claims the key unless another claim holds it; an unfinished record whose token [isDisowned] may be replaced. */
    class Take(
        override val hash: String,
        override val token: String,
        val claimedAtMillis: Long,
        val isDisowned: (String) -> Boolean,
    ) : ShardOperation

    /** Records the outcome of the author's own claim. */
    class Finish(
        override val hash: String,
        override val token: String,
        val status: Int,
    ) : ShardOperation

    /** Removes the author's own claim, which was never forwarded. */
    class Remove(
        override val hash: String,
        override val token: String,
    ) : ShardOperation
}
