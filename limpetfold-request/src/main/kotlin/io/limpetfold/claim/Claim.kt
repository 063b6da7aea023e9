package io.limpetfold.claim

import io.limpetfold.core.RequestId
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import kotlin.time.TimeMark
import kotlin.time.toKotlinDuration

/**
 * An idempotency key claimed for one call; it permits a single forward.
 *
 * @property request the identity of the call, for logs only; the stored claim is recognised by its token.
 */
class Claim internal constructor(
    internal val key: ClaimKey,
    internal val token: String,
    val request: RequestId,
    private val claimedAt: Instant,
    private val claimedMark: TimeMark,
    private val clock: InstantSource,
    private val maxForwardAge: Duration,
    private val listener: ClaimListener,
) {
    private enum class Phase { HELD, FORWARDED, COMPLETED, ENDED }

    private var phase = Phase.HELD

    /**
     * Returns true at most once, and only while the claim is recent enough; call it right before the first byte is
     * sent.
     *
     * After the retention time, other routers may remove the record and claim the key again, so a router that was
     * paused in between must not forward. The monotonic clock shows the pause of a process. The pause of a whole
     * machine shows only on the wall clock, because the monotonic clock of Linux stops meanwhile. The forward is
     * refused when the age on either clock reaches the limit. A pause between this check and the first byte is not
     * covered.
     */
    @Synchronized
    fun tryMarkForwarded(): Boolean {
        if (phase != Phase.HELD) return false
        val isRecent =
            claimedMark.elapsedNow() < maxForwardAge.toKotlinDuration() &&
                Duration.between(claimedAt, clock.instant()) < maxForwardAge
        if (!isRecent) {
            phase = Phase.ENDED
            listener.onForwardTooLate()
            return false
        }
        phase = Phase.FORWARDED
        return true
    }

    /** Ends a claim whose call was not forwarded or [isProvenNotStarted]; returns false when that is not allowed. */
    @Synchronized
    internal fun tryEnd(isProvenNotStarted: Boolean): Boolean {
        val isAllowed =
            when (phase) {
                Phase.HELD, Phase.ENDED -> true
                Phase.FORWARDED -> isProvenNotStarted
                Phase.COMPLETED -> false
            }
        if (isAllowed) phase = Phase.ENDED
        return isAllowed
    }

    /** Marks the claim as completed, after which it cannot be released; returns false when it was never forwarded. */
    @Synchronized
    internal fun tryMarkCompleted(): Boolean {
        if (phase == Phase.FORWARDED) phase = Phase.COMPLETED
        return phase == Phase.COMPLETED
    }

    override fun toString(): String = "Claim($request)"
}
