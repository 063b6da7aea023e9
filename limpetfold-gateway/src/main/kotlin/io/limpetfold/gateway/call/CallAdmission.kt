package io.limpetfold.gateway.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.codec.CallHeaders
import io.limpetfold.gateway.operate.GracefulShutdown
import io.limpetfold.http.RequestHead
import io.limpetfold.routing.ForwardingRoute
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.WorkspaceAccess
import java.time.Duration
import kotlin.random.Random

/** Reads the head of a call once for all, and decides by it whether the call is forwarded. */
internal class CallAdmission(
    private val codec: CallCodec,
    private val table: () -> RoutingTable?,
    private val random: Random,
    private val shutdown: GracefulShutdown,
) {
    /** Returns the admitted call, or its refusal. */
    fun admit(
        head: RequestHead,
        now: Duration,
    ): Result<AdmittedCall, AdmissionRefusal> {
        val headers = codec.decode(head)
        val table = table() ?: return refused(headers, RefusalReason.NO_CONFIGURATION)
        val route = table.routeFor(headers.host, head.path) ?: return refused(headers, RefusalReason.NO_ROUTE)
        val workspace = headers.key?.let { table.workspaceByKey(it) }
        headRefusal(head, headers, table, route, workspace)?.let { return refused(headers, it) }
        val request = headers.requestId ?: return refused(headers, RefusalReason.NO_REQUEST_ID)
        val inputTokens = headers.prompt?.inputTokens ?: 0
        val service =
            route.pickService(random.nextDouble()) { table.canHold(it, inputTokens) }
                ?: return refused(headers, noService(route))
        val timeout = headers.timeout?.let { minOf(it, route.timeout) } ?: route.timeout
        if (!shutdown.acceptsCall(now + timeout)) return refused(headers, RefusalReason.STOPPING)
        return Ok(AdmittedCall(head, headers, request, table, route, workspace, service, now, now + timeout))
    }

    private fun headRefusal(
        head: RequestHead,
        headers: CallHeaders,
        table: RoutingTable,
        route: ForwardingRoute,
        workspace: WorkspaceAccess?,
    ): RefusalReason? =
        when {
            isAmbiguous(table, headers.host, head, route) -> RefusalReason.AMBIGUOUS_PATH
            table.isKeyRequired(route) && workspace == null -> RefusalReason.UNKNOWN_KEY
            headers.requestId == null -> RefusalReason.NO_REQUEST_ID
            headers.invalidField != null -> RefusalReason.INVALID_FIELD
            !headers.isPromptValid -> RefusalReason.INVALID_PROMPT
            else -> null
        }

    /** Whether a later program that decodes the path or drops its empty segments would find another route. */
    private fun isAmbiguous(
        table: RoutingTable,
        host: String,
        head: RequestHead,
        route: ForwardingRoute,
    ): Boolean {
        val path = head.path
        val lenientPath = head.lenientPath
        if (lenientPath == path) return false
        val lenientRoute = table.routeFor(host, lenientPath)
        return lenientRoute != null && lenientRoute !== route
    }

    private fun refused(
        headers: CallHeaders,
        reason: RefusalReason,
    ) = Err(
        AdmissionRefusal(
            reason,
            headers.requestId,
            headers.invalidField.takeIf { reason == RefusalReason.INVALID_FIELD },
        ),
    )

    private fun noService(route: ForwardingRoute): RefusalReason =
        if (route.pickService(0.0) == null) RefusalReason.NO_ENDPOINT else RefusalReason.PROMPT_TOO_LARGE
}
