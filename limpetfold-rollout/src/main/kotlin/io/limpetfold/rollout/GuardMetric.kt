package io.limpetfold.rollout

/** A metric on which a guard compares the two versions. */
enum class GuardMetric {
    FAILURES,
    LATENCY,
    FIRST_TOKEN,
    BETWEEN_TOKENS,
}
