package io.limpetfold.http

/** Whether an endpoint must echo the request id header in its response; one with another id is never the response. */
enum class RequestIdEcho {
    /** A response without the echo is accepted, for endpoints that may not support it. */
    IF_PRESENT,

    /** A response without the echo is not the response to the request. */
    REQUIRED,
}
