package io.limpetfold.claim

import io.limpetfold.request.Refusal
import java.time.Duration
import java.time.Instant

/** Whether a call with an idempotency key may be forwarded, according to the stored record of the key. */
sealed interface ClaimDecision {
    /**
     * The key is claimed for this call. Forward the call only after [Claim.tryMarkForwarded] returned true; afterwards
     * complete or release the claim.
     */
    data class Granted(
        val claim: Claim,
    ) : ClaimDecision

    /** An earlier call with the key completed; the body in [response] is null when it was not kept. */
    data class Finished(
        val response: RecordedResponse,
    ) : ClaimDecision {
        /** The refusal for a caller whose recorded body was not kept. */
        fun toRefusal(): Refusal = Refusal.DuplicateFinished(response.status)
    }

    /** An earlier call with the key has no recorded response: it may still run, or its router may have crashed. */
    data class Unfinished(
        val claimedAt: Instant,
    ) : ClaimDecision {
        /** The refusal for the caller; waiting before a retry helps only while the earlier call is still running. */
        fun toRefusal(): Refusal = Refusal.DuplicateUnfinished(claimedAt, RETRY_AFTER)
    }

    private companion object {
        val RETRY_AFTER: Duration = Duration.ofSeconds(5)
    }
}
