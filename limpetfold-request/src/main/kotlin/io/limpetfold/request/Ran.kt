package io.limpetfold.request

/** Whether an endpoint acted on a refused request. */
enum class Ran {
    /** No endpoint acted on the request; the caller may send it again. */
    NO,

    /** The endpoint acted on the request. */
    YES,

    /** An endpoint may have acted on the request. */
    UNKNOWN,
    ;

    /** The name used in the response to the caller. */
    val wireName: String get() = name.lowercase()
}
