package io.limpetfold.http

/** Whether an endpoint must echo `X-Request-Id`; an echo that differs is an error under both rules. */
enum class RequestIdEcho {
    /** For endpoints that are not known to echo. */
    IF_PRESENT,

    /** An answer without the echo is an error too. */
    REQUIRED,
}
