package io.limpetfold.rollout

import io.limpetfold.store.StoreError

/** Events of moves; called from the thread that caused them, so implementations must not block. */
interface RolloutListener {
    /** A new version was withdrawn here; call `sendVerdicts` at once when [isLocal]. */
    fun onWithdrawn(
        verdict: Verdict,
        isLocal: Boolean,
    ) = Unit

    /** The router adopted a newer state of a move. */
    fun onMoveSeen(record: MoveRecord) = Unit

    /** This controller wrote a new state. */
    fun onMoveWritten(record: MoveRecord) = Unit

    /** An order to an endpoint failed and will be repeated. */
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
