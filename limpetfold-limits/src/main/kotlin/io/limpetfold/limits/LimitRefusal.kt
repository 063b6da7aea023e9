package io.limpetfold.limits

import io.limpetfold.core.RouteId
import java.time.Duration

/** Why no slot was given; nothing was sent to an endpoint. */
sealed interface LimitRefusal {
    val message: String
    val retryAfter: Duration

    /** The route's queue is full. */
    data class QueueFull(
        val route: RouteId,
        override val retryAfter: Duration,
    ) : LimitRefusal {
        override val message get() = "the queue of route $route is full; retry later or raise its maxQueued"
    }

    /** No slot became free within the request's maximum wait. */
    data class NoCapacity(
        val route: RouteId,
        override val retryAfter: Duration,
    ) : LimitRefusal {
        override val message get() = "the endpoints of route $route stayed at their limit; retry later or add endpoints"
    }

    /** All candidates are out of rotation, or there are none. */
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
