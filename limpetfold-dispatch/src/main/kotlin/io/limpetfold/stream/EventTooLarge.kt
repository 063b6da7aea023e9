package io.limpetfold.stream

/** An event of a stream is larger than [maxBytes]; the endpoint's stream can't be used further. */
data class EventTooLarge(
    val maxBytes: Int,
) {
    val message: String get() = "an event exceeds $maxBytes bytes"
}
