package io.limpetfold.router.call

import com.github.michaelbull.result.get
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
    private val hasEnded: suspend (Incarnation) -> Boolean,
) {
    init {
        peers.registerHandler(TakeoverMessages.TOPIC) { from, message -> runs.handOver(message.workspace, message.request, from) }
    }

    /** What is known of earlier attempts of [call]; follows the request from router to router to the one that holds it. */
    suspend fun earlier(call: Call): Earlier {
        val entry = journal.find(call.workspace.workspace, call.request)
        val endpoint = entry?.opened?.endpoint
        if (entry?.closed != null) return Earlier.Finished(endpoint)
        var holder = entry?.opened?.holder ?: self
        repeat(MAX_HOLDERS_ASKED) {
            val reply = ask(holder, call) ?: return Earlier.Unfinished
            when (reply.outcome) {
                HandOver.BILLED -> return Earlier.Finished(endpoint)
                HandOver.TAKEN -> holder = reply.takenBy ?: return Earlier.Unfinished
                HandOver.HANDED_OVER, HandOver.UNKNOWN_REQUEST -> {
                    val opened = entry?.opened ?: return Earlier.None
                    return Earlier.Available(opened.endpoint, opened.takeovers)
                }
            }
        }
        return Earlier.Unfinished
    }

    /** Copies that the request goes to an endpoint; the answer does not wait for it. */
    suspend fun opened(
        call: Call,
        endpoint: EndpointId,
        run: BillableRun,
    ) {
        val tokens = run.reservation.tokens
        journal.recordOpened(OpenedRecord(call.workspace.workspace, call.request, self, endpoint, tokens, run.takeovers))
    }

    /** Copies how the request ended; call it before the last part of the answer goes out. */
    suspend fun closed(
        call: Call,
        settlement: Settlement,
    ) {
        journal.recordClosed(
            ClosedRecord(
                call.workspace.workspace,
                call.request,
                settlement.holder,
                settlement.chargedTokens,
                settlement.cumulativeSpentTokens,
            ),
        )
    }

    /** Asks [holder] for the request; null when it gives no answer and is not known to have ended. */
    private suspend fun ask(
        holder: Incarnation,
        call: Call,
    ): TakeoverReply? {
        if (holder == self) return runs.handOver(call.workspace.workspace, call.request, self)
        val message = TakeoverRequest(call.workspace.workspace, call.request)
        val reply = peers.ask(holder.instance, TakeoverMessages.TOPIC, message, TIMEOUT).get()
        return reply ?: TakeoverReply(HandOver.UNKNOWN_REQUEST).takeIf { hasEnded(holder) }
    }

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
            val takeovers: Int,
        ) : Earlier

        /** Another router may still bill the request. */
        data object Unfinished : Earlier
    }

    private companion object {
        /** A request that passes through more routers than this is refused as unfinished. */
        const val MAX_HOLDERS_ASKED = 4
        val TIMEOUT: Duration = Duration.ofMillis(500)
    }
}
