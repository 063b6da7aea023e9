package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * Settings of the engine stand-in.
 *
 * @property capacity number of requests that run in the batch; further ones wait by priority.
 * @property tokenMillis time to generate one token in an empty batch.
 * @property loadSlowdown share by which a full batch is slower than an empty one.
 * @property prefillTokensPerSecond rate at which prompts are processed.
 * @property rejectAbove number of requests held, running and waiting, from which new ones are rejected as not started.
 * @property collapseRejections number of rejections within a second above which the engine fails all running requests.
 * @property collapseMillis how long the engine rejects every request after that failure.
 * @property extraTokens tokens generated beyond `max_tokens`.
 * @property defaultTokens tokens generated when a request has no `max_tokens`.
 * @property loadLagMillis age of the load report.
 * @property keepMillis how long a stream can be resumed after its end.
 * @property abandonMillis how long a stream without a reader runs before it is cancelled.
 * @property checksFencing whether orders with a stale fencing token are refused.
 */
@Serializable
data class EngineStandinSettings(
    val version: String = "v1",
    val capacity: Int = 8,
    val tokenMillis: Double = 20.0,
    val loadSlowdown: Double = 1.0,
    val prefillTokensPerSecond: Double = 10_000.0,
    val rejectAbove: Int = 24,
    val collapseRejections: Int = 50,
    val collapseMillis: Long = 2000,
    val bytesPerToken: Double = 4.0,
    val extraTokens: Int = 0,
    val defaultTokens: Int = 64,
    val loadLagMillis: Long = 1000,
    val keepMillis: Long = 60_000,
    val abandonMillis: Long = 10_000,
    val checksFencing: Boolean = true,
    val echoesRequestId: Boolean = true,
    val fault: EngineFault = EngineFault(),
) {
    init {
        require(
            capacity > 0 && rejectAbove >= capacity,
        ) { "rejectAbove $rejectAbove is below capacity $capacity: raise it" }
        require(tokenMillis >= 0 && prefillTokensPerSecond > 0) {
            "tokenMillis is negative or prefillTokensPerSecond is not above 0: correct the value"
        }
        require(bytesPerToken > 0) { "bytesPerToken is not positive: set it above 0" }
    }
}
