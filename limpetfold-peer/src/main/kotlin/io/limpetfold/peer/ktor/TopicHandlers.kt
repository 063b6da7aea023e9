package io.limpetfold.peer.ktor

import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerHandler
import io.limpetfold.peer.PeerTopic
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Dispatches asks to the handlers registered for their topics; every failure becomes a rejection. */
@OptIn(ExperimentalSerializationApi::class)
internal class TopicHandlers(
    private val maxPayloadBytes: Int,
) {
    private val handlers = ConcurrentHashMap<String, Entry<*, *>>()

    fun <Q : Any, A : Any> add(
        topic: PeerTopic<Q, A>,
        handler: PeerHandler<Q, A>,
    ) {
        check(handlers.putIfAbsent(topic.name, Entry(topic, handler)) == null) { "topic $topic already has a handler" }
    }

    suspend fun handle(
        from: Incarnation,
        ask: Frame.Ask,
    ): Frame {
        val entry = handlers[ask.topic] ?: return Frame.Rejection(ask.id, "no handler for ${ask.topic}")
        return try {
            val payload = entry.handle(from, ask.payload)
            if (payload.size <= maxPayloadBytes) {
                Frame.Reply(ask.id, payload)
            } else {
                Frame.Rejection(ask.id, "the reply of ${payload.size} bytes is too large")
            }
        } catch (e: CancellationException) {
            throw e
        } catch (e: SerializationException) {
            LOG.warn(
                "peer: message does not decode peer={} topic={} reason={}",
                from,
                ask.topic,
                e.javaClass.simpleName,
            )
            Frame.Rejection(ask.id, "the message does not decode")
        } catch (e: Exception) {
            LOG.error("peer: handler failed peer={} topic={}", from, ask.topic, e)
            Frame.Rejection(ask.id, "the handler failed")
        }
    }

    private class Entry<Q : Any, A : Any>(
        private val topic: PeerTopic<Q, A>,
        private val handler: PeerHandler<Q, A>,
    ) {
        suspend fun handle(
            from: Incarnation,
            payload: ByteArray,
        ): ByteArray {
            val message = Frame.decode(topic.requestSerializer, payload)
            return Frame.CBOR.encodeToByteArray(topic.replySerializer, handler.handle(from, message))
        }
    }

    private companion object {
        val LOG = LoggerFactory.getLogger(KtorPeerNetwork::class.java)
    }
}
