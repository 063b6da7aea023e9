package io.limpetfold.claim

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerError
import io.limpetfold.peer.PeerHandler
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.peer.PeerTopic
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.PeerFault
import kotlinx.coroutines.yield
import java.time.Duration
import kotlin.random.Random

/** The connections between the routers of a schedule, with cuts and with messages and replies that are lost or late. */
internal class SchedulePeers(
    private val random: Random,
) {
    private val cuts = HashSet<Set<InstanceId>>()
    private val hub =
        FakePeerHub { from, to -> if (setOf(from, to) in cuts) PeerFault.REQUEST_LOST else PeerFault.NONE }
    private val lateMessages = ArrayDeque<suspend () -> Unit>()

    /** The processes that confirmed to keep a claim, by its token; the test's own account of who knows what. */
    private val keepers = HashMap<String, MutableSet<Incarnation>>()

    fun keepersOf(token: String): Set<Incarnation> = keepers[token].orEmpty()

    fun join(incarnation: Incarnation): PeerNetwork = FaultyNetwork(incarnation, hub.join(incarnation))

    fun disconnect(instance: InstanceId) = hub.disconnect(instance)

    /** Cuts or mends a connection, or delivers a late message. */
    suspend fun step(instances: List<InstanceId>) {
        when (random.nextInt(8)) {
            0 -> cuts += instances.shuffled(random).take(2).toSet()
            1, 2 -> cuts.clear()
            3 -> lateMessages.removeFirstOrNull()?.invoke()
        }
    }

    private inner class FaultyNetwork(
        private val self: Incarnation,
        private val network: PeerNetwork,
    ) : PeerNetwork by network {
        override fun <Q : Any, A : Any> registerHandler(
            topic: PeerTopic<Q, A>,
            handler: PeerHandler<Q, A>,
        ) = network.registerHandler(topic) { from, message ->
            handler.handle(from, message).also {
                if (message is ClaimCopies && it is ClaimCopiesReply && it.isKept) {
                    for (copy in message.claims) keepers.getOrPut(copy.record.token, ::HashSet) += self
                }
            }
        }

        override suspend fun <Q : Any, A : Any> ask(
            to: InstanceId,
            topic: PeerTopic<Q, A>,
            message: Q,
            timeout: Duration,
        ): Result<A, PeerError> {
            // Long enough that the peer may write many shards again before a message arrives.
            repeat(random.nextInt(if (random.nextInt(4) == 0) 300 else 4)) { yield() }
            val fault = random.nextInt(24)
            if (fault == 0) return Err(PeerError.Timeout(to, timeout))
            if (fault == 1) {
                lateMessages += { network.ask(to, topic, message, timeout) }
                return Err(PeerError.Timeout(to, timeout))
            }
            val reply = network.ask(to, topic, message, timeout)
            repeat(random.nextInt(4)) { yield() }
            return if (fault == 2) Err(PeerError.Timeout(to, timeout)) else reply
        }
    }
}
