package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Sends notices about leaving endpoints to peers, until each connected peer has acknowledged a notice or
 * [LimitPolicy.noticeLifetime] has passed. Safe for concurrent use.
 *
 * A receiver forwards each notice that is new to it, because in a large fleet not every pair of routers is connected.
 */
internal class LeavingNoticeGossip(
    private val self: Incarnation,
    private val network: PeerNetwork,
    private val timeSource: TimeSource,
    private val policy: LimitPolicy,
) {
    private class Pending(
        val notice: LeavingNotice,
        val receivedAt: TimeMark,
        val acknowledged: MutableSet<InstanceId>,
    )

    private val pending = mutableListOf<Pending>()
    private val seen = LinkedHashSet<LeavingNotice>()
    private var number = 0L

    /** Queues a notice that [endpoint] is leaving; the next [send] delivers it. */
    @Synchronized
    fun publish(endpoint: EndpointId) {
        val notice = LeavingNotice(endpoint, self, ++number)
        markSeen(notice)
        pending += Pending(notice, timeSource.markNow(), mutableSetOf())
    }

    /** Returns those of [notices] that are new to this router, and queues them for forwarding. */
    @Synchronized
    fun receive(
        from: Incarnation,
        notices: List<LeavingNotice>,
    ): List<LeavingNotice> {
        val newNotices = notices.filter { it.origin != self && markSeen(it) }
        pending += newNotices.map { Pending(it, timeSource.markNow(), mutableSetOf(from.instance, it.origin.instance)) }
        return newNotices
    }

    /** Sends each connected peer the notices that it has not acknowledged yet, to all peers concurrently. */
    suspend fun send() =
        coroutineScope {
            for (peer in network.connectedPeers()) {
                val due = due(peer)
                if (due.isEmpty()) continue
                launch {
                    val message = LeavingNotices(due.map { it.notice })
                    val reply = network.ask(peer, LimitTopics.LEAVING, message, policy.peerTimeout)
                    if (reply.isOk) acknowledge(due, peer)
                }
            }
        }

    @Synchronized
    private fun due(peer: InstanceId): List<Pending> {
        pending.removeAll { it.receivedAt.elapsedNow() > policy.noticeLifetime.toKotlinDuration() }
        return pending.filter { peer !in it.acknowledged }
    }

    @Synchronized
    private fun acknowledge(
        sent: List<Pending>,
        peer: InstanceId,
    ) = sent.forEach { it.acknowledged += peer }

    private fun markSeen(notice: LeavingNotice): Boolean {
        if (seen.size >= MAX_SEEN) seen.remove(seen.first())
        return seen.add(notice)
    }

    private companion object {
        /**
         * Bounds the memory for recognising repeated notices; far above the number of notices sent within their
         * lifetime.
         */
        const val MAX_SEEN = 4096
    }
}
