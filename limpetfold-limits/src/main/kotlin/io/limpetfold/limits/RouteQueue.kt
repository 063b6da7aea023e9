package io.limpetfold.limits

/** The waiting requests of one route. */
internal class RouteQueue(
    var limit: RouteQueueConfig,
) {
    val waiters = FairQueue<Waiter> { limit.weights[it] ?: 1 }
}
