package io.limpetfold.dispatch

/** What a call says about the endpoint that it was sent to. */
enum class CallOutcome {
    /** The endpoint answered, and not with a failure. */
    SUCCEEDED,

    /** The endpoint answered with a failure of its own. */
    FAILED,

    /** The endpoint refused the call without running it. */
    REJECTED,

    /** No connection, no answer, or an answer that broke off. */
    UNREACHABLE,

    /** The caller or this router ended the call; nothing is known. */
    UNKNOWN,
}
