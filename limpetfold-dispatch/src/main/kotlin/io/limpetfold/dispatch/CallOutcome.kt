package io.limpetfold.dispatch

/** The outcome of a call, as far as it says something about its endpoint. */
enum class CallOutcome {
    /** The endpoint responded without an error. */
    SUCCEEDED,

    /** The endpoint responded with an error of its own. */
    FAILED,

    /** The endpoint refused the call without running it. */
    REJECTED,

    /** The connection failed, no response came, or the response was cut short. */
    UNREACHABLE,

    /** The caller or this router ended the call, which says nothing about the endpoint. */
    UNKNOWN,
}
