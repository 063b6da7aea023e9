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
 * Looks up earlier attempts of a request, so that the request is billed once across all routers.
 *
 * A request belongs to the router that opened it. A retry through another router takes it over only when the first
 * router hands it over or is known to have ended. Otherwise both could bill the request, so the retry is refused with
 * an unknown outcome.
 *
 * @param hasEnded whether the process of another router is known to have ended.
 */
internal class CallJournal(
    private val self: Incarnation,
    private val journal: RequestJournal,
    private val runs: RunRegistry,
    private val peers: PeerNetwork,
    private val hasEnded: suspend (Incarnation) -> Boolean,
) {
    init {
        peers.registerHandler(
            TakeoverMessages.TOPIC,
        ) { from, message -> runs.handOver(message.workspace, message.request, from) }
    }

    /**
     * Finds an earlier attempt of [call] and takes it over when it is not billed yet. Follows the request from router
     * to router until one holds it.
     */
    suspend fun findEarlierAttempt(call: Call): EarlierAttempt {
        val entry = journal.find(call.workspace.workspace, call.request)
        val endpoint = entry?.opened?.endpoint
        if (entry?.closed != null) return EarlierAttempt.Finished(endpoint)
        var holder = entry?.opened?.holder ?: self
        repeat(MAX_TAKEOVER_REQUESTS) {
            val reply = requestTakeover(holder, call) ?: return EarlierAttempt.Unfinished
            when (reply.outcome) {
                TakeoverOutcome.BILLED -> return EarlierAttempt.Finished(endpoint)
                TakeoverOutcome.TAKEN -> holder = reply.takenBy ?: return EarlierAttempt.Unfinished
                TakeoverOutcome.HANDED_OVER, TakeoverOutcome.UNKNOWN_REQUEST -> {
                    val opened = entry?.opened ?: return EarlierAttempt.None
                    return EarlierAttempt.Resumable(opened.endpoint, opened.takeovers)
                }
            }
        }
        return EarlierAttempt.Unfinished
    }

    /** Replicates to the peers that the request is sent to [endpoint]. */
    suspend fun recordOpened(
        call: Call,
        endpoint: EndpointId,
        run: BillableRun,
    ) {
        val tokens = run.reservation.tokens
        journal.recordOpened(
            OpenedRecord(call.workspace.workspace, call.request, self, endpoint, tokens, run.takeovers),
        )
    }

    /** Replicates the bill of the request to the peers; must be called before the last part of the response is sent. */
    suspend fun recordClosed(
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

    /** Asks [holder] to hand the request over; returns null when it does not respond and is not known to have ended. */
    private suspend fun requestTakeover(
        holder: Incarnation,
        call: Call,
    ): TakeoverReply? {
        if (holder == self) return runs.handOver(call.workspace.workspace, call.request, self)
        val message = TakeoverRequest(call.workspace.workspace, call.request)
        val reply = peers.ask(holder.instance, TakeoverMessages.TOPIC, message, TAKEOVER_TIMEOUT).get()
        return reply ?: TakeoverReply(TakeoverOutcome.UNKNOWN_REQUEST).takeIf { hasEnded(holder) }
    }

    /** The result of the lookup of an earlier attempt. */
    sealed interface EarlierAttempt {
        /** No earlier attempt is known. */
        data object None : EarlierAttempt

        /** The request was billed; its response may still be available at [endpoint]. */
        data class Finished(
            val endpoint: EndpointId?,
        ) : EarlierAttempt

        /**
         * The request was not billed and now belongs to this router; its stream may still be available at [endpoint].
         */
        data class Resumable(
            val endpoint: EndpointId,
            val takeovers: Int,
        ) : EarlierAttempt

        /** Another run may still bill the request, so this one must not. */
        data object Unfinished : EarlierAttempt
    }

    private companion object {
        /** A request that was taken over more often than this allows is refused as unfinished. */
        const val MAX_TAKEOVER_REQUESTS = 4
        val TAKEOVER_TIMEOUT: Duration = Duration.ofMillis(500)
    }
}
