package io.limpetfold.testing

/** What a [FakeObjectStore] does with one call. */
enum class StoreFault {
    /** The call works. */
    NONE,

    /** The call fails before it takes effect. */
    UNAVAILABLE,

    /** A write takes effect and its answer is lost; a read fails. */
    ANSWER_LOST,

    /** A write does not take effect and its answer is lost; a read fails. */
    REQUEST_LOST,

    /** The call is refused because of its rate. */
    RATE_LIMITED,
}
