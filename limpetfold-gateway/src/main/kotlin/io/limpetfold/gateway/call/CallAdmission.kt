package io.limpetfold.gateway.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.operate.GracefulShutdown
import io.limpetfold.http.RequestHead
import io.limpetfold.routing.ForwardingRoute
import io.limpetfold.routing.RoutingTable
import java.time.Duration
import kotlin.random.Random

/** Decides by the request head whether a call is forwarded. */
internal class CallAdmission(
    private val codec: CallCodec,
    private val table: () -> RoutingTable?,
    private val random: Random,
    private val shutdown: GracefulShutdown,
) {
    /** Returns the admitted call, or the reason for its refusal. */
    fun admit(
        head: RequestHead,
        now: Duration,
    ): Result<AdmittedCall, RefusalReason> {
        val table = table() ?: return Err(RefusalReason.NO_CONFIGURATION)
        val headers = codec.decode(head)
        val route = table.routeFor(headers.host, head.path) ?: return Err(RefusalReason.NO_ROUTE)
        val workspace = headers.key?.let { table.workspaceByKey(it) }
        if (table.isKeyRequired(route) && workspace == null) return Err(RefusalReason.UNKNOWN_KEY)
        val request = headers.requestId ?: return Err(RefusalReason.NO_REQUEST_ID)
        if (!headers.isPromptValid) return Err(RefusalReason.INVALID_PROMPT)
        val inputTokens = headers.prompt?.inputTokens ?: 0
        val service =
            route.pickService(random.nextDouble()) { table.canHold(it, inputTokens) }
                ?: return Err(noService(route))
        val timeout = headers.timeout?.let { minOf(it, route.timeout) } ?: route.timeout
        if (!shutdown.acceptsCall(now + timeout)) return Err(RefusalReason.STOPPING)
        return Ok(AdmittedCall(head, headers, request, table, route, workspace, service, now, now + timeout))
    }

    private fun noService(route: ForwardingRoute): RefusalReason =
        if (route.pickService(0.0) == null) RefusalReason.NO_ENDPOINT else RefusalReason.PROMPT_TOO_LARGE
}
