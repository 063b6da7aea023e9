package io.limpetfold.standins

import kotlinx.serialization.Serializable

/**
 * The counts of the engine stand-in since its start, as `GET /admin/stats` returns them.
 *
 * @property collapses how often the engine failed all running requests because of too many rejections.
 * @property peakHeld highest number of requests held at a time, running and waiting.
 * @property fencing highest fencing token of an accepted order.
 * @property orders the latest accepted orders, oldest first.
 * @property requests counts by request id.
 */
@Serializable
data class EngineStats(
    val started: Long = 0,
    val finished: Long = 0,
    val cancelled: Long = 0,
    val failed: Long = 0,
    val rejected: Long = 0,
    val resumed: Long = 0,
    val collapses: Long = 0,
    val generatedTokens: Long = 0,
    val running: Int = 0,
    val waiting: Int = 0,
    val peakHeld: Int = 0,
    val fencing: Long = 0,
    val orders: List<EngineOrder> = emptyList(),
    val requests: Map<String, RequestCounts> = emptyMap(),
) {
    /** The counts of one request id. */
    @Serializable
    data class RequestCounts(
        val started: Int = 0,
        val finished: Int = 0,
        val cancelled: Int = 0,
        val failed: Int = 0,
        val promptTokens: Long = 0,
        val generatedTokens: Long = 0,
    )
}
