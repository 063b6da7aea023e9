package io.limpetfold.claim

import io.limpetfold.request.Refusal
import java.time.Duration

/** Why a key could not be claimed; the call must not be forwarded. */
sealed interface ClaimError {
    val message: String
    val retryAfter: Duration

    /** The refusal for the caller: nothing was forwarded. */
    fun toRefusal(): Refusal = Refusal.ClaimUnavailable(message, retryAfter)

    /** The shard already holds the maximum number of unexpired claims. */
    data class ShardFull(
        val shard: Int,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "claim shard $shard is full; space returns when its oldest claims expire"
    }

    /** The store was restored from an older copy, and not all routers have written their claims of the shard again. */
    data class Restoring(
        val shard: Int,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "claims of shard $shard are being written again after a restore of the platform"
    }

    /** Too few other routers confirmed that they keep a copy of the claim; it is given up. */
    data class CopiesMissing(
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message
            get() = "too few other routers keep a copy of the claim; check the connections between the routers"
    }

    /** The platform did not store the claim. */
    data class PlatformUnavailable(
        val reason: String,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "the platform did not store the claim ($reason)"
    }

    /** The write was not confirmed, so the claim may be stored; it is disowned and its call is never forwarded. */
    data class OutcomeUnknown(
        val reason: String,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "storing the claim was not confirmed ($reason)"
    }
}
