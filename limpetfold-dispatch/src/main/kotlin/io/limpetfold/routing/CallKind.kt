package io.limpetfold.routing

/** Whether a call may run more than once, and how its response arrives. */
enum class CallKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** The response is a stream of events; runs at most once unless its route is resumable. */
    STREAM,
}
