package io.limpetfold.http

/** Whether an endpoint must echo the request id header in its response; an echo that differs is always an error. */
enum class RequestIdEcho {
    /** A response without the echo is accepted, for endpoints that may not support it. */
    IF_PRESENT,

    /** A response without the echo is an error. */
    REQUIRED,
}
