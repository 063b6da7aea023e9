package io.limpetfold.claim

import io.limpetfold.request.Refusal
import java.time.Duration

/** Why a key could not be claimed; the call must not be forwarded. */
sealed interface ClaimError {
    val message: String
    val retryAfter: Duration

    /** The refusal for the caller: nothing was forwarded. */
    fun toRefusal(): Refusal = Refusal.ClaimUnavailable(message, retryAfter)

    /** The shard holds its maximum of unexpired claims. */
    data class ShardFull(
        val shard: Int,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "claim shard $shard is full; space returns when its oldest claims expire"
    }

    /** The platform did not take the claim. */
    data class PlatformUnavailable(
        val reason: String,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "the platform did not store the claim ($reason)"
    }

    /** The claim may be stored, but nothing confirmed it; it is disowned and never forwarded. */
    data class OutcomeUnknown(
        val reason: String,
        override val retryAfter: Duration,
    ) : ClaimError {
        override val message get() = "storing the claim was not confirmed ($reason)"
    }
}
