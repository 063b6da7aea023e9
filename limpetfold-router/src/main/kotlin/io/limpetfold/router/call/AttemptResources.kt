package io.limpetfold.router.call

import io.limpetfold.limits.EndpointOutcome
import io.limpetfold.limits.EndpointPermit
import io.limpetfold.rollout.VersionChoice
import io.limpetfold.rollout.VersionObservation
import io.limpetfold.rollout.VersionSelector

/**
 * The choice of a version and, once it was acquired, the slot at an endpoint that one attempt holds.
 *
 * Both are released together, and only the first release has an effect. [CallResources] releases them at the end of the
 * call if nothing did before. Used by one coroutine at a time.
 */
internal class AttemptResources(
    private val versionChoice: VersionChoice,
    private val versionSelector: VersionSelector,
) {
    private var permit: EndpointPermit? = null
    private var wasSent = false
    private var isReleased = false

    /** Takes ownership of the slot of the attempt. */
    fun add(permit: EndpointPermit) {
        this.permit = permit
    }

    /** Notes that the request is about to be sent, so that it counts as a request to its version. */
    fun markSent() {
        wasSent = true
    }

    /** Releases both with the result of the attempt. */
    fun release(
        outcome: EndpointOutcome,
        observation: VersionObservation,
    ) = releaseOnce(outcome) { versionSelector.record(versionChoice, observation) }

    /** Releases both; the end of the attempt says nothing about the version. */
    fun discard(outcome: EndpointOutcome = EndpointOutcome.Ignored) =
        releaseOnce(outcome) { versionSelector.cancel(versionChoice, wasSent) }

    /** Releases both after an attempt whose request did not leave this router. */
    fun discardUnsent() {
        wasSent = false
        discard()
    }

    private fun releaseOnce(
        outcome: EndpointOutcome,
        releaseChoice: () -> Unit,
    ) {
        if (isReleased) return
        isReleased = true
        permit?.release(outcome)
        releaseChoice()
    }
}
