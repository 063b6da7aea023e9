package io.limpetfold.limits

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.PeerNetwork
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Tells peers about leaving endpoints, and repeats a notice until each reachable peer acknowledged it or it is too old.
 *
 * A receiver that did not know the notice passes it on, because not every pair of routers is connected in a large fleet.
 */
internal class LeavingNoticeBoard(
    private val self: Incarnation,
    private val network: PeerNetwork,
    private val timeSource: TimeSource,
    private val policy: LimitPolicy,
) {
    private class Pending(
        val notice: LeavingNotice,
        val since: TimeMark,
        val acknowledged: MutableSet<InstanceId>,
    )

    private val pending = mutableListOf<Pending>()
    private val seen = LinkedHashSet<LeavingNotice>()
    private var number = 0L

    /** Starts to tell peers about [endpoint]. */
    @Synchronized
    fun post(endpoint: EndpointId) {
        val notice = LeavingNotice(endpoint, self, ++number)
        remember(notice)
        pending += Pending(notice, timeSource.markNow(), mutableSetOf())
    }

    /** Returns the notices that were not known, which are then passed on. */
    @Synchronized
    fun receive(
        from: Incarnation,
        notices: List<LeavingNotice>,
    ): List<LeavingNotice> {
        val fresh = notices.filter { it.origin != self && remember(it) }
        pending += fresh.map { Pending(it, timeSource.markNow(), mutableSetOf(from.instance, it.origin.instance)) }
        return fresh
    }

    /** Sends what peers have not acknowledged yet, to all of them at once. */
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
        pending.removeAll { it.since.elapsedNow() > policy.noticeLife.toKotlinDuration() }
        return pending.filter { peer !in it.acknowledged }
    }

    @Synchronized
    private fun acknowledge(
        sent: List<Pending>,
        peer: InstanceId,
    ) = sent.forEach { it.acknowledged += peer }

    private fun remember(notice: LeavingNotice): Boolean {
        if (seen.size >= MAX_SEEN) seen.remove(seen.first())
        return seen.add(notice)
    }

    private companion object {
        /** Bounds the memory for repeated notices; far more than are alive at once. */
        const val MAX_SEEN = 4096
    }
}
