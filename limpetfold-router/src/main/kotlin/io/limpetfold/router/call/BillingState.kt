package io.limpetfold.router.call

/** Who bills a run. */
internal enum class BillingState {
    /** Not decided yet: the run is in progress. */
    OPEN,

    /** Billed by this router. */
    BILLED,

    /** Not billed because the run cost nothing; a retry may run again. */
    DISCARDED,

    /** Another run took the request over and bills it. */
    HANDED_OVER,
}
