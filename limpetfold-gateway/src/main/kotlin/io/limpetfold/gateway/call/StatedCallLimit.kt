package io.limpetfold.gateway.call

/** The limit of calls a second that an endpoint names in a response. */
internal sealed interface StatedCallLimit {
    /** The endpoint takes [callsPerSecond] calls from all routers together. */
    data class Limited(
        val callsPerSecond: Double,
    ) : StatedCallLimit

    /** The endpoint names no limit. */
    data object Unlimited : StatedCallLimit

    /** The value is no decimal number; what the endpoint said before stays in effect. */
    data object Invalid : StatedCallLimit

    companion object {
        private val DECIMAL = Regex("\\d{1,18}(\\.\\d{1,18})?")

        /** Parses the value of the header field; null if the response has none. */
        fun parse(text: String?): StatedCallLimit {
            val trimmed = text?.trim() ?: return Unlimited
            return if (DECIMAL.matches(trimmed)) Limited(trimmed.toDouble()) else Invalid
        }
    }
}
