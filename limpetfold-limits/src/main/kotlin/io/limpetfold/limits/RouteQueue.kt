package io.limpetfold.limits

/** The waiting requests of one route. */
internal class RouteQueue(
    var config: RouteQueueConfig,
) {
    val waiters = FairQueue<Waiter> { config.weights[it] ?: 1 }
}
