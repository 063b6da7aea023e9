package io.limpetfold.claim

import io.limpetfold.core.RequestId
import java.time.Duration
import java.time.Instant
import java.time.InstantSource
import kotlin.time.TimeMark
import kotlin.time.toKotlinDuration

/**
 * A key claimed for one call; it allows one forward.
 *
 * @property request the call's identity, for logs; it plays no part in recognising the claim.
 */
class Claim internal constructor(
    internal val key: ClaimKey,
    internal val token: String,
    val request: RequestId,
    private val claimedAt: Instant,
    private val claimedMark: TimeMark,
    private val clock: InstantSource,
    private val forwardWithin: Duration,
    private val listener: ClaimListener,
) {
    private enum class Phase { HELD, FORWARDED, COMPLETED, ENDED }

    private var phase = Phase.HELD

    /**
     * Returns true exactly once, and only while the claim is young enough; call it right before the first byte is sent.
     *
     * After the retention time others may remove the record and claim the key again, so an owner that was paused in
     * between must not forward. The monotonic clock shows the pause of a process; the wall clock also shows the pause of
     * a whole machine, during which the monotonic clock of Linux stands still. Either one is enough to refuse. A pause
     * between this check and the first byte is not covered.
     */
    @Synchronized
    fun tryMarkForwarded(): Boolean {
        if (phase != Phase.HELD) return false
        val isYoung =
            claimedMark.elapsedNow() < forwardWithin.toKotlinDuration() &&
                Duration.between(claimedAt, clock.instant()) < forwardWithin
        if (!isYoung) {
            phase = Phase.ENDED
            listener.onForwardTooLate()
            return false
        }
        phase = Phase.FORWARDED
        return true
    }

    /** Ends the claim without a forward, or after a forward that [isProvenNotStarted]; returns whether that is allowed. */
    @Synchronized
    internal fun end(isProvenNotStarted: Boolean): Boolean {
        val isAllowed =
            when (phase) {
                Phase.HELD, Phase.ENDED -> true
                Phase.FORWARDED -> isProvenNotStarted
                Phase.COMPLETED -> false
            }
        if (isAllowed) phase = Phase.ENDED
        return isAllowed
    }

    /** Marks the claim as completed, after which it cannot be abandoned; returns false when it was never forwarded. */
    @Synchronized
    internal fun finish(): Boolean {
        if (phase == Phase.FORWARDED) phase = Phase.COMPLETED
        return phase == Phase.COMPLETED
    }

    override fun toString(): String = "Claim($request)"
}
