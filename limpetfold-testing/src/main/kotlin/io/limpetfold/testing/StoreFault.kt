package io.limpetfold.testing

/** What a [FakeObjectStore] does with one call. */
enum class StoreFault {
    /** The call succeeds. */
    NONE,

    /** The call fails before it takes effect. */
    UNAVAILABLE,

    /** A write takes effect, and its response is lost; a read fails. */
    RESPONSE_LOST,

    /** A write does not take effect, and its outcome is unknown to the caller; a read fails. */
    REQUEST_LOST,

    /** The call is refused by the rate limit. */
    RATE_LIMITED,
}
