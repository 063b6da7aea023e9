package io.limpetfold.standins

import kotlinx.serialization.Serializable

/** What the engine stand-in did, as `GET /admin/stats` returns it. */
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
    /** Counts of one request identity. */
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
