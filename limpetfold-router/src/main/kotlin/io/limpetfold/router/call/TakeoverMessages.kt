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
 * The reply to a [TakeoverRequest].
 *
 * @property takenBy the router to ask instead, with [TakeoverOutcome.TAKEN].
 */
@Serializable
internal data class TakeoverReply(
    val outcome: TakeoverOutcome,
    val takenBy: Incarnation? = null,
) {
    companion object {
        /** The reply to [taker] about a run in [state], which [takenBy] took over if that is not null. */
        fun of(
            state: BillingState,
            takenBy: Incarnation?,
            taker: Incarnation,
        ): TakeoverReply =
            when (state) {
                BillingState.BILLED -> TakeoverReply(TakeoverOutcome.BILLED)
                BillingState.HANDED_OVER ->
                    if (takenBy == taker) {
                        TakeoverReply(TakeoverOutcome.HANDED_OVER)
                    } else {
                        TakeoverReply(TakeoverOutcome.TAKEN, takenBy)
                    }
                BillingState.OPEN, BillingState.DISCARDED -> TakeoverReply(TakeoverOutcome.UNKNOWN_REQUEST)
            }
    }
}

/** What a router did with a run that another router wants to take over. */
@Serializable
internal enum class TakeoverOutcome {
    /** The run was ended without being billed; the sender may run and bill the request. */
    HANDED_OVER,

    /** Another run holds the request, either one that took it over before or one that is starting. */
    TAKEN,

    /** The run was billed before; the sender must not bill the request again. */
    BILLED,

    /** No such run is known here; this process did not bill the request. */
    UNKNOWN_REQUEST,
}

internal object TakeoverMessages {
    val TOPIC = PeerTopic("router.takeover", TakeoverRequest.serializer(), TakeoverReply.serializer())
}
