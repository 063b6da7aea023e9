package io.limpetfold.measure.slopes

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
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import java.time.Duration

/** Connects routers in one process: encodes their messages as CBOR, decodes them again and records the sizes. */
@OptIn(ExperimentalSerializationApi::class)
internal class CborPeerHub {
    private val networks = LinkedHashMap<InstanceId, Network>()
    private val sizes = LinkedHashMap<String, MessageSizes>()

    /** The sizes of the last request and reply of each topic. */
    fun sizes(): Map<String, MessageSizes> = synchronized(sizes) { sizes.toMap() }

    /** Adds a router. It is connected to [reachable], or to all other routers if null. */
    fun join(
        self: Incarnation,
        reachable: Set<InstanceId>? = null,
    ): PeerNetwork = Network(self, reachable).also { networks[self.instance] = it }

    /** Removes all routers, so that registered handlers do not keep them in memory. */
    fun clear() = networks.clear()

    /** Payload sizes without frames. */
    data class MessageSizes(
        val askBytes: Int,
        val replyBytes: Int,
    )

    private inner class Network(
        private val self: Incarnation,
        private val reachable: Set<InstanceId>?,
    ) : PeerNetwork {
        val handlers = HashMap<String, PeerHandler<*, *>>()

        override fun <Q : Any, A : Any> registerHandler(
            topic: PeerTopic<Q, A>,
            handler: PeerHandler<Q, A>,
        ) {
            handlers[topic.name] = handler
        }

        @Suppress("UNCHECKED_CAST")
        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            val handler =
                networks[to]?.handlers?.get(topic.name) as PeerHandler<Q, A>? ?: return Err(PeerError.Unreachable(to))
            val (request, askBytes) = encodeAndDecode(topic.requestSerializer, message)
            val (reply, replyBytes) = encodeAndDecode(topic.replySerializer, handler.handle(self, request))
            synchronized(sizes) { sizes[topic.name] = MessageSizes(askBytes, replyBytes) }
            return Ok(reply)
        }

        override fun connectedPeers(): ImmutableSet<InstanceId> =
            (reachable ?: (networks.keys - self.instance)).toImmutableSet()
    }

    private fun <T : Any> encodeAndDecode(
        serializer: KSerializer<T>,
        value: T,
    ): Pair<T, Int> {
        val bytes = CBOR.encodeToByteArray(serializer, value)
        return CBOR.decodeFromByteArray(serializer, bytes) to bytes.size
    }

    private companion object {
        /** The format in which the router's peer network encodes payloads. */
        val CBOR = Cbor { ignoreUnknownKeys = true }
    }
}
