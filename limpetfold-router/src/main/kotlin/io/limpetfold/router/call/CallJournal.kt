package io.limpetfold.router.call

import com.github.michaelbull.result.fold
import io.limpetfold.budget.Reservation
import io.limpetfold.budget.Settlement
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.request.ClosedRecord
import io.limpetfold.request.OpenedRecord
import io.limpetfold.request.RequestJournal
import java.time.Duration

/**
 * Finds out about earlier attempts of a request, so that it is billed once over all routers.
 *
 * A request belongs to the router that opened it. A retry through another router takes it over only when that router handed it over or is
 * known to have ended; otherwise both could bill it, and the caller gets an honest "unknown".
 */
internal class CallJournal(
    private val self: Incarnation,
    private val journal: RequestJournal,
    private val runs: RunRegistry,
    private val peers: PeerNetwork,
    private val hasEnded: (Incarnation) -> Boolean,
) {
    init {
        peers.handle(TakeoverMessages.TOPIC) { _, message ->
            TakeoverReply(runs.handOver(message.workspace, message.request))
        }
    }

    /** What is known of earlier attempts of [call]. */
    suspend fun earlier(call: Call): Earlier {
        val entry = journal.find(call.workspace.workspace, call.request) ?: return localRun(call)
        val endpoint = entry.opened?.endpoint
        if (entry.closed != null) return Earlier.Finished(endpoint)
        val holder = entry.opened?.holder ?: return Earlier.None
        val outcome =
            when {
                holder == self -> runs.handOver(call.workspace.workspace, call.request)
                hasEnded(holder) -> HandOver.UNKNOWN_REQUEST
                else -> askHolder(holder, call) ?: return Earlier.Unfinished
            }
        return when (outcome) {
            HandOver.BILLED -> Earlier.Finished(endpoint)
            HandOver.HANDED_OVER, HandOver.UNKNOWN_REQUEST -> endpoint?.let { Earlier.Available(it) } ?: Earlier.None
        }
    }

    /** Copies that the request goes to an endpoint; the answer does not wait for it. */
    suspend fun opened(
        call: Call,
        endpoint: EndpointId,
        reservation: Reservation,
    ) {
        journal.opened(OpenedRecord(call.workspace.workspace, call.request, self, endpoint, reservation.tokens))
    }

    /** Copies how the request ended; call it before the last part of the answer goes out. */
    suspend fun closed(
        call: Call,
        settlement: Settlement,
    ) {
        journal.closed(
            ClosedRecord(
                call.workspace.workspace,
                call.request,
                settlement.holder,
                settlement.chargedTokens,
                settlement.cumulativeSpentTokens,
            ),
        )
    }

    private fun localRun(call: Call): Earlier =
        when (runs.handOver(call.workspace.workspace, call.request)) {
            HandOver.BILLED -> Earlier.Finished(null)
            HandOver.HANDED_OVER, HandOver.UNKNOWN_REQUEST -> Earlier.None
        }

    private suspend fun askHolder(
        holder: Incarnation,
        call: Call,
    ): HandOver? =
        peers
            .ask(holder.instance, TakeoverMessages.TOPIC, TakeoverRequest(call.workspace.workspace, call.request), TIMEOUT)
            .fold(success = { it.outcome }, failure = { null })

    /** What an earlier attempt left behind. */
    sealed interface Earlier {
        /** No earlier attempt is known. */
        data object None : Earlier

        /** The request was billed; its answer may still be read from [endpoint]. */
        data class Finished(
            val endpoint: EndpointId?,
        ) : Earlier

        /** The request was not billed, and its stream may still be at [endpoint]. */
        data class Available(
            val endpoint: EndpointId,
        ) : Earlier

        /** Another router may still bill the request. */
        data object Unfinished : Earlier
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofMillis(500)
    }
}
