package io.limpetfold.gateway.call

import io.limpetfold.dispatch.CallOutcome
import io.limpetfold.dispatch.VersionPreference
import io.limpetfold.rollout.MoveSide
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.rollout.timed.TimedVersionChoice
import io.limpetfold.routing.CallKind
import java.time.Duration

/**
 * Returns what an attempt of [call], which was sent at [sentAt] and ended at [endedAt], shows about the version of its
 * endpoint; null if the endpoint rejected the call or the outcome is unknown.
 */
internal fun versionObservationOf(
    outcome: CallOutcome,
    call: AdmittedCall,
    sentAt: Duration,
    endedAt: Duration,
): VersionObservation? =
    when (outcome) {
        CallOutcome.SUCCEEDED ->
            if (call.route.kind == CallKind.STREAM) {
                VersionObservation(
                    isSuccess = true,
                    firstToken = call.firstByteAt?.let { it - sentAt }?.takeIf { !it.isNegative },
                )
            } else {
                VersionObservation(isSuccess = true, latency = endedAt - sentAt)
            }
        CallOutcome.FAILED, CallOutcome.UNREACHABLE -> VersionObservation(isSuccess = false)
        CallOutcome.REJECTED, CallOutcome.UNKNOWN -> null
    }

/** Which version of its service a call prefers that is assigned to a side of a move. */
internal val TimedVersionChoice.preference: VersionPreference
    get() =
        VersionPreference(
            target.value,
            isTargetPreferred = side == MoveSide.NEW,
            isFallbackAllowed = side == MoveSide.NEW || !isWithdrawn,
        )
