package io.limpetfold.rollout

/** What a guard compares between the two versions. */
enum class GuardMetric {
    FAILURES,
    LATENCY,
    FIRST_TOKEN,
    BETWEEN_TOKENS,
}
