package io.limpetfold.request

/** What proves that an endpoint did not start a request. */
enum class NotStartedProof {
    /** The connection was refused, or failed before the first byte was handed to the operating system. */
    NOTHING_WRITTEN,

    /** The endpoint's answer said so, as `X-Limpetfold-Not-Started: true` does. */
    STATED_BY_ENDPOINT,
}
