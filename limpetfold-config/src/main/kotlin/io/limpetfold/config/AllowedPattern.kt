package io.limpetfold.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialInfo

/** The regular expression that a string field, or each item of a list of strings, must match as a whole. */
@OptIn(ExperimentalSerializationApi::class)
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
annotation class AllowedPattern(
    val pattern: String,
) {
    companion object {
        /** A name. The character set is small because names appear in object keys, metrics and log lines. */
        const val NAME = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}"

        /** Lower-case hexadecimal SHA-256. */
        const val SHA256 = "[0-9a-f]{64}"

        /** An absolute path without a trailing slash, or `/` itself. */
        const val PATH = "/|(/[A-Za-z0-9._~-]+)+"

        /** An absolute path with optional placeholder segments, as in `/bookings/{id}`. */
        const val PATH_TEMPLATE = "/|(/([A-Za-z0-9._~-]+|\\{[a-z]+}))+"

        /** An IP address or host name and a port, as in `10.0.0.1:7000`. */
        const val ADDRESS =
            "[A-Za-z0-9.-]+:([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"

        /** An HTTP method that a call rule may name. */
        const val METHOD = "GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS"
    }
}
