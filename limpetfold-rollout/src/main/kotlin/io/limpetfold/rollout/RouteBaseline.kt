package io.limpetfold.rollout

/** What a router learned about the version in force on a route while no move ran. Not safe for concurrent use. */
internal class RouteBaseline {
    /** Windows of durations, from which thresholds come. */
    val durations = (GuardMetric.entries - GuardMetric.FAILURES).associateWith { DurationWindow() }

    /** Failures of the version; recent ones weigh more. */
    var failures = OutcomeCounts()
        private set

    fun learn(observation: VersionObservation) {
        failures = failures.plus(MoveSide.OLD, !observation.isSuccess)
        if (failures.old > MAX_COUNT) failures = OutcomeCounts(failures.old / 2, failures.oldBad / 2)
        if (!observation.isSuccess) return
        observation.latency?.let { durations.getValue(GuardMetric.LATENCY).add(it.toNanos()) }
        observation.firstToken?.let { durations.getValue(GuardMetric.FIRST_TOKEN).add(it.toNanos()) }
        observation.betweenTokens?.let { durations.getValue(GuardMetric.BETWEEN_TOKENS).add(it.toNanos()) }
    }

    private companion object {
        /** Old failures are forgotten by halves, so that the baseline follows the version's present state. */
        const val MAX_COUNT = 200
    }
}
