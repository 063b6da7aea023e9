package io.limpetfold.routing

/** How often a call may run, and how its answer arrives. */
enum class CallKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once. */
    NON_IDEMPOTENT,

    /** Answers with a stream of events; runs at most once unless its route is resumable. */
    STREAM,
}
