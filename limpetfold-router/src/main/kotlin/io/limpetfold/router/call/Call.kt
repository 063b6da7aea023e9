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
 * One authenticated request of a caller, matched to its route.
 *
 * @property isRequestIdFromCaller whether the caller set the identity in [request]; only then an earlier attempt may
 *   exist at some router.
 * @property configPublishedAtMillis when the configuration of the call was published, in milliseconds since the epoch.
 * @property deadline end of the route's request timeout.
 */
internal class Call(
    val exchange: HttpExchange,
    val workspace: WorkspaceConfig,
    val route: RouteConfig,
    val service: ServiceConfig,
    val request: RequestId,
    val isRequestIdFromCaller: Boolean,
    val configPublishedAtMillis: Long,
    val arrivedAt: TimeMark,
    val deadline: TimeMark,
    val trace: RequestTrace,
) {
    /** What the attempts of this call hold; released when the call ends. */
    val resources = CallResources()

    /**
     * The request identity sent to endpoints. It contains the workspace, so that a workspace can't resume the stream of
     * another one. Neither part may contain a colon, so the identity is unique.
     */
    val upstreamRequestId: String get() = "${workspace.workspace}:$request"

    /** The time until [deadline]; zero after it. */
    fun remainingTime(): Duration = Duration.ofMillis((-deadline.elapsedNow()).inWholeMilliseconds.coerceAtLeast(0))
}
