package io.limpetfold.routing

/**
 * What callers may send and how long they may take, as a configuration states it. The values are not checked: a router
 * applies them within bounds of its own, and its defaults in place of those that are null or not positive.
 *
 * @property maxHeaderBytes maximum size of the header fields of a request.
 * @property maxBodyBytes maximum size of a request body.
 * @property headerTimeoutMillis maximum time from the first byte of a request head to its end.
 * @property idleTimeoutMillis time for which callers may count on a connection without a request.
 */
data class CallerLimits(
    val maxHeaderBytes: Double? = null,
    val maxBodyBytes: Double? = null,
    val headerTimeoutMillis: Double? = null,
    val idleTimeoutMillis: Double? = null,
) {
    companion object {
        /** States no limit. */
        val NONE = CallerLimits()
    }
}
