package io.limpetfold.router.call

/** Who bills a run. */
internal enum class BillState {
    /** Nobody yet. */
    OPEN,

    /** This router billed it. */
    BILLED,

    /** Nobody: the run cost nothing, and a retry may run again. */
    DISCARDED,

    /** Another router took the request over and bills it. */
    HANDED_OVER,
}
