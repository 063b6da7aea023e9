package io.limpetfold.rollout

import io.limpetfold.store.StoreError

/** Events of moves. Called on the thread that caused the event, so implementations must not block. */
interface RolloutListener {
    /**
     * This router withdrew a new version.
     *
     * If [isLocal], its own guard found the verdict: call [VersionSelector.sendVerdicts] at once, so that peers do not
     * wait for the next round.
     */
    fun onWithdrawn(
        verdict: Verdict,
        isLocal: Boolean,
    ) = Unit

    /** The router adopted a newer state of a move. */
    fun onMoveSeen(record: MoveRecord) = Unit

    /** This controller wrote a new state of a move. */
    fun onMoveWritten(record: MoveRecord) = Unit

    /** An order to an endpoint failed; it will be retried in a later round. */
    fun onOrderFailed(
        order: EndpointOrder,
        reason: String,
    ) = Unit

    /** A call to the platform failed. */
    fun onError(error: StoreError) = Unit

    companion object {
        val NONE: RolloutListener = object : RolloutListener {}
    }
}
