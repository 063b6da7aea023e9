package io.limpetfold.measure.moves

/** The kinds of new version that are measured. */
enum class VersionKind {
    /** Behaves as the old version. */
    GOOD,

    /** Behaves as the old version while both fail and slow down in common bursts. */
    GOOD_UNDER_NOISE,

    /** Fails 15 to 100 in 100 requests from the start. */
    BAD_AT_ONCE,

    /** Fails 40 in 100 from a random instant in the first two thirds of the move. */
    BAD_LATE,

    /** Fails 40 in 100 while it gets more than 55 in 100 of the requests. */
    BAD_UNDER_LOAD,

    /** Fails 40 in 100 on one of the two routes, and behaves as the old version on the other. */
    BAD_ON_ONE_ROUTE,

    /** Is 1.6 to 3 times as slow and does not fail. */
    SLOW,
}
