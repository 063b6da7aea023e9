package io.limpetfold.peer

import com.github.michaelbull.result.Result
import io.limpetfold.core.InstanceId
import kotlinx.collections.immutable.ImmutableSet
import java.time.Duration

/** Request and reply messages between the routers of a fleet; safe for concurrent use. */
interface PeerNetwork {
    /** Registers the handler of [topic]; all handlers must be registered before the network starts. */
    fun <Q : Any, A : Any> registerHandler(
        topic: PeerTopic<Q, A>,
        handler: PeerHandler<Q, A>,
    )

    /** Sends [message] to [to] and waits up to [timeout] for its reply. */
    suspend fun <Q : Any, A : Any> ask(
        to: InstanceId,
        topic: PeerTopic<Q, A>,
        message: Q,
        timeout: Duration,
    ): Result<A, PeerError>

    /** Returns the peers with an open connection. */
    fun connectedPeers(): ImmutableSet<InstanceId>
}
