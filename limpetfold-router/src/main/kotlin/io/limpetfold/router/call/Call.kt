package io.limpetfold.router.call

import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.RequestId
import io.limpetfold.http.HttpExchange
import io.limpetfold.router.observe.RequestTrace
import java.time.Duration
import kotlin.time.TimeMark

/**
 * One authenticated request of a caller.
 *
 * @property isCallerIdentity whether the caller chose [request], so that an earlier attempt through another router may exist.
 * @property configuredAtMillis when the configuration under which the call runs was published.
 * @property deadline monotonic end of the route's request timeout.
 */
internal class Call(
    val exchange: HttpExchange,
    val workspace: WorkspaceConfig,
    val route: RouteConfig,
    val service: ServiceConfig,
    val request: RequestId,
    val isCallerIdentity: Boolean,
    val configuredAtMillis: Long,
    val arrived: TimeMark,
    val deadline: TimeMark,
    val trace: RequestTrace,
) {
    /**
     * The identity sent to endpoints. The workspace is part of it, so that one workspace can't meet a stream of another; the colon is not
     * allowed in either part.
     */
    val upstreamIdentity: String get() = "${workspace.workspace}:$request"

    /** The time left for the whole request, at least zero. */
    fun remaining(): Duration =
        Duration.ofMillis((-deadline.elapsedNow()).inWholeMilliseconds.coerceAtLeast(0))
}
