package io.limpetfold.testing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerHandler
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * Connects the routers of a test in memory; [fault] chooses the fault of each message by its sender and receiver.
 *
 * Messages pass through their serializers, so that a test also notices a message that can't be encoded.
 */
class FakePeerHub(
    @Volatile var fault: (from: InstanceId, to: InstanceId) -> PeerFault = { _, _ -> PeerFault.NONE },
) {
    private val networks = ConcurrentHashMap<InstanceId, Network>()
    private val askCounts = ConcurrentHashMap<String, Int>()

    /** Returns the number of requests of [topic] that were sent so far, including lost ones. */
    fun askCount(topic: PeerTopic<*, *>): Int = askCounts[topic.name] ?: 0

    /** Adds a router; a newer incarnation replaces the older one of the same instance. */
    fun join(incarnation: Incarnation): PeerNetwork = Network(incarnation).also { networks[incarnation.instance] = it }

    /** Removes a router, as when its process is killed. */
    fun disconnect(instance: InstanceId) {
        networks.remove(instance)
    }

    private inner class Network(
        val self: Incarnation,
    ) : PeerNetwork {
        val handlers = ConcurrentHashMap<String, PeerHandler<*, *>>()

        override fun <Q : Any, A : Any> registerHandler(
            topic: PeerTopic<Q, A>,
            handler: PeerHandler<Q, A>,
        ) {
            check(handlers.put(topic.name, handler) == null) { "topic ${topic.name} has a handler already" }
        }

        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            askCounts.merge(topic.name, 1, Int::plus)
            val target = networks[to] ?: return Err(PeerError.Unreachable(to))
            val messageFault = fault(self.instance, to)
            if (messageFault == PeerFault.REQUEST_LOST) return Err(PeerError.Timeout(to, timeout))

            @Suppress("UNCHECKED_CAST")
            val handler =
                target.handlers[topic.name] as PeerHandler<Q, A>?
                    ?: return Err(PeerError.Rejected(to, "no handler for ${topic.name}"))
            val reply = handler.handle(self, copyBySerializer(topic.requestSerializer, message))
            return if (messageFault == PeerFault.REPLY_LOST) {
                Err(PeerError.Timeout(to, timeout))
            } else {
                Ok(copyBySerializer(topic.replySerializer, reply))
            }
        }

        override fun connectedPeers(): ImmutableSet<InstanceId> =
            networks.keys
                .filter { it != self.instance && fault(self.instance, it) == PeerFault.NONE }
                .toImmutableSet()
    }
}
