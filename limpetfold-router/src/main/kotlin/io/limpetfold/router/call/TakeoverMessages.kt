package io.limpetfold.router.call

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

/** Whether the request was handed over. */
@Serializable
internal data class TakeoverReply(
    val outcome: HandOver,
)

/** What a router did with a run that another one wants to take over. */
@Serializable
internal enum class HandOver {
    /** The run was ended without a bill. */
    HANDED_OVER,

    /** The run was billed before. */
    BILLED,

    /** No such run is known here; it was not billed by this process. */
    UNKNOWN_REQUEST,
}

internal object TakeoverMessages {
    val TOPIC = PeerTopic("router.takeover", TakeoverRequest.serializer(), TakeoverReply.serializer())
}
