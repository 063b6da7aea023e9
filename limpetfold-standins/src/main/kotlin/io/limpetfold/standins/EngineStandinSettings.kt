package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * Settings of the engine stand-in.
 *
 * @property capacity requests that run in the batch; further ones wait by priority.
 * @property tokenMillis time of one token in an empty batch.
 * @property loadSlowdown share by which a full batch is slower than an empty one.
 * @property prefillTokensPerSecond pace at which the prompt is read.
 * @property rejectAbove requests held, running and waiting, above which new ones are rejected as not started.
 * @property collapseRejections rejections within a second after which the engine fails its running requests.
 * @property collapseMillis how long a failed engine rejects everything.
 * @property extraTokens tokens generated beyond `max_tokens`.
 * @property defaultTokens tokens generated when a request has no `max_tokens`.
 * @property loadLagMillis age of the load report.
 * @property keepMillis how long a finished stream can be resumed.
 * @property abandonMillis how long a running stream without a reader goes on.
 * @property checksFencing whether orders with an older fencing number are refused.
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
        require(capacity > 0 && rejectAbove >= capacity) { "rejectAbove $rejectAbove is below capacity $capacity: raise it" }
        require(tokenMillis >= 0 && prefillTokensPerSecond > 0) { "a pace is not positive: set tokenMillis and prefillTokensPerSecond" }
        require(bytesPerToken > 0) { "bytesPerToken is not positive: set it above 0" }
    }
}
