package io.limpetfold.rollout

/** Statistics of the active version of a route, collected while no move is running. Not safe for concurrent use. */
internal class RouteBaseline {
    /** For each duration metric, the window from which its threshold is derived. */
    val durations = (GuardMetric.entries - GuardMetric.FAILURES).associateWith { DurationWindow() }

    /** Outcomes and failures of the version; recent ones weigh more. */
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
        /** Above this number the counts are halved, so that the baseline follows the recent state of the version. */
        const val MAX_COUNT = 200
    }
}
