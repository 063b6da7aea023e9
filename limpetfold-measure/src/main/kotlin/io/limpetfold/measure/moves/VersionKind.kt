package io.limpetfold.measure.moves

/** How the new version of a measured move behaves. */
enum class VersionKind {
    /** Behaves as the old version. */
    GOOD,

    /** Behaves as the old version, while both fail more often and slow down in bursts at the same time. */
    GOOD_UNDER_NOISE,

    /** Fails a fixed 15% to 100% of requests from the start. */
    BAD_AT_ONCE,

    /** Fails 40% of requests from a random instant in the first two thirds of the move. */
    BAD_LATE,

    /** Fails 40% of requests while it receives more than 55% of the traffic. */
    BAD_UNDER_LOAD,

    /** Fails 40% of requests on one of the two routes, and behaves as the old version on the other. */
    BAD_ON_ONE_ROUTE,

    /** Takes 1.6 to 3 times as long as the old version and fails no more often. */
    SLOW,
}
