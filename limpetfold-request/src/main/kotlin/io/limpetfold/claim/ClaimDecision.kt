package io.limpetfold.claim

import io.limpetfold.request.Refusal
import java.time.Duration
import java.time.Instant

/** What the stored record of a key says about a call. */
sealed interface ClaimDecision {
    /** The key is claimed for this call; it is forwarded after [Claim.tryMarkForwarded] and completed or abandoned. */
    data class Granted(
        val claim: Claim,
    ) : ClaimDecision

    /** An earlier call with the key ended; a null body in [outcome] means that it was not kept. */
    data class Finished(
        val outcome: RecordedResponse,
    ) : ClaimDecision {
        /** The refusal for a caller whose recorded body was not kept. */
        fun toRefusal(): Refusal = Refusal.DuplicateFinished(outcome.status)
    }

    /** An earlier call with the key has no recorded outcome; it may be running, or its router may have died. */
    data class Unfinished(
        val claimedAt: Instant,
    ) : ClaimDecision {
        /** The refusal for the caller; waiting helps only while the first call still runs. */
        fun toRefusal(): Refusal = Refusal.DuplicateUnfinished(claimedAt, RETRY_AFTER)
    }

    private companion object {
        val RETRY_AFTER: Duration = Duration.ofSeconds(5)
    }
}
