package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * Settings of the plain service stand-in.
 *
 * @property delayMillis delay before a booking takes effect.
 * @property failBeforeShare share of the bookings that fail with status 500 and do not take effect.
 * @property refuseShare share of the bookings that are refused with 503 as not started.
 * @property failAfterShare share of the bookings that take effect and fail with status 500.
 * @property loseAfterShare share of the bookings that take effect and whose connection is closed without a response.
 * @property readBytesPerSecond rate at which request bodies are read; 0 means no limit.
 * @property seed seed of the random generator that draws the outcome of each booking.
 */
@Serializable
data class PlainServiceSettings(
    val version: String = "v1",
    val delayMillis: Long = 0,
    val failBeforeShare: Double = 0.0,
    val refuseShare: Double = 0.0,
    val failAfterShare: Double = 0.0,
    val loseAfterShare: Double = 0.0,
    val readBytesPerSecond: Long = 0,
    val echoesRequestId: Boolean = true,
    val seed: Long = 1,
) {
    init {
        val shares = listOf(failBeforeShare, refuseShare, failAfterShare, loseAfterShare)
        require(
            shares.all {
                it in 0.0..1.0
            } &&
                shares.sum() <= 1.0,
        ) { "the shares sum to ${shares.sum()}: lower them to at most 1" }
        require(
            delayMillis >= 0 && readBytesPerSecond >= 0,
        ) { "delayMillis or readBytesPerSecond is negative: use 0 or more" }
    }
}
