package io.limpetfold.request

/** What proves that an endpoint did not start a request. */
enum class NotStartedProof {
    /** The connection was refused, or failed before the first byte was handed to the operating system. */
    NOTHING_WRITTEN,

    /** The endpoint's response said so, for example with the header `X-Limpetfold-Not-Started: true`. */
    STATED_BY_ENDPOINT,
}
