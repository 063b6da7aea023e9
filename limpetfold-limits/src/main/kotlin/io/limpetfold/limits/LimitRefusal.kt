package io.limpetfold.limits

import io.limpetfold.core.RouteId
import java.time.Duration

/** Why a request got no slot; nothing was sent to an endpoint. */
sealed interface LimitRefusal {
    val message: String
    val retryAfter: Duration

    /** The route's queue is full. */
    data class QueueFull(
        val route: RouteId,
        override val retryAfter: Duration,
    ) : LimitRefusal {
        override val message get() = "the queue of route $route is full; retry later or raise its queue.maxRequests"
    }

    /** No slot became free within the maximum wait of the request. */
    data class NoCapacity(
        val route: RouteId,
        override val retryAfter: Duration,
    ) : LimitRefusal {
        override val message get() = "the endpoints of route $route stayed at their limit; retry later or add endpoints"
    }

    /** No candidate endpoint is in rotation. */
    data class NoEndpoint(
        val route: RouteId,
        override val retryAfter: Duration,
    ) : LimitRefusal {
        override val message get() = "route $route has no endpoint in rotation; check that endpoints are running"
    }

    /** The route is not configured. */
    data class UnknownRoute(
        val route: RouteId,
        override val retryAfter: Duration,
    ) : LimitRefusal {
        override val message get() = "route $route has no limit configured; check the configuration generation"
    }
}
