package io.limpetfold.router.call

import io.limpetfold.core.Incarnation
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** Asks the router that opened a request to hand it over, because its caller retries through the sender. */
@Serializable
internal data class TakeoverRequest(
    val workspace: WorkspaceId,
    val request: RequestId,
)

/**
 * Whether the request was handed over.
 *
 * @property takenBy the router to ask instead, with [HandOver.TAKEN].
 */
@Serializable
internal data class TakeoverReply(
    val outcome: HandOver,
    val takenBy: Incarnation? = null,
) {
    companion object {
        /** The reply to [taker] about a run in [state] that [takenBy] took over. */
        fun of(
            state: BillState,
            takenBy: Incarnation?,
            taker: Incarnation,
        ): TakeoverReply =
            when (state) {
                BillState.BILLED -> TakeoverReply(HandOver.BILLED)
                BillState.HANDED_OVER -> if (takenBy == taker) TakeoverReply(HandOver.HANDED_OVER) else TakeoverReply(HandOver.TAKEN, takenBy)
                BillState.OPEN, BillState.DISCARDED -> TakeoverReply(HandOver.UNKNOWN_REQUEST)
            }
    }
}

/** What a router did with a run that another one wants to take over. */
@Serializable
internal enum class HandOver {
    /** The run was ended without a bill. */
    HANDED_OVER,

    /** Another run took the request over before. */
    TAKEN,

    /** The run was billed before. */
    BILLED,

    /** No such run is known here; it was not billed by this process. */
    UNKNOWN_REQUEST,
}

internal object TakeoverMessages {
    val TOPIC = PeerTopic("router.takeover", TakeoverRequest.serializer(), TakeoverReply.serializer())
}
