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

/** Connects routers in one process through the CBOR form of their messages and notes the sizes. */
@OptIn(ExperimentalSerializationApi::class)
internal class WirePeers {
    private val networks = LinkedHashMap<InstanceId, Network>()
    private val sizes = LinkedHashMap<String, MessageSizes>()

    /** The sizes of the last message of each topic. */
    fun sizes(): Map<String, MessageSizes> = synchronized(sizes) { sizes.toMap() }

    /** Adds a router, which reaches only [reaches] when that is given. */
    fun join(
        self: Incarnation,
        reaches: Set<InstanceId>? = null,
    ): PeerNetwork = Network(self, reaches).also { networks[self.instance] = it }

    /** Forgets all routers, so that no handler keeps one alive. */
    fun clear() = networks.clear()

    /** @property askBytes and [replyBytes] are without the frame. */
    data class MessageSizes(
        val askBytes: Int,
        val replyBytes: Int,
    )

    private inner class Network(
        private val self: Incarnation,
        private val reaches: Set<InstanceId>?,
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
            val handler = networks[to]?.handlers?.get(topic.name) as PeerHandler<Q, A>? ?: return Err(PeerError.Unreachable(to))
            val (question, askBytes) = copy(topic.requestSerializer, message)
            val (answer, replyBytes) = copy(topic.replySerializer, handler.answer(self, question))
            synchronized(sizes) { sizes[topic.name] = MessageSizes(askBytes, replyBytes) }
            return Ok(answer)
        }

        override fun connectedPeers(): ImmutableSet<InstanceId> = (reaches ?: (networks.keys - self.instance)).toImmutableSet()
    }

    private fun <T : Any> copy(
        serializer: KSerializer<T>,
        value: T,
    ): Pair<T, Int> {
        val bytes = CBOR.encodeToByteArray(serializer, value)
        return CBOR.decodeFromByteArray(serializer, bytes) to bytes.size
    }

    private companion object {
        /** As the product's peer network encodes payloads. */
        val CBOR = Cbor { ignoreUnknownKeys = true }
    }
}
