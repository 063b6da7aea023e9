package io.limpetfold.request

/** Whether a refused request ran at an endpoint. */
enum class Ran {
    /** No byte of the request was acted on; the caller may send it again. */
    NO,

    /** The endpoint acted on the request. */
    YES,

    /** The request may have run. */
    UNKNOWN,
    ;

    /** The form used in the answer to the caller. */
    val wireName: String get() = name.lowercase()
}
