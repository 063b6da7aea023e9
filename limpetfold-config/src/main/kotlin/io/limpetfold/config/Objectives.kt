package io.limpetfold.config

import kotlinx.serialization.Serializable
import java.time.Duration

/**
 * Service-level objectives of a route; a null objective is not set.
 *
 * @property availability share of requests that neither fail nor are refused.
 * @property latencyShare share of requests that meet the latency objectives below.
 * @property latency time to the complete response of a plain service.
 * @property firstToken time to the first token of a model.
 * @property betweenTokens time between tokens of a model.
 */
@Serializable
data class Objectives(
    @AllowedRange("0.5", "0.99999")
    val availability: Double = 0.99,
    @AllowedRange("0.5", "0.99999")
    val latencyShare: Double = 0.95,
    @AllowedRange("1ms", "10m")
    @Serializable(with = DurationSerializer::class)
    val latency: Duration? = null,
    @AllowedRange("1ms", "10m")
    @Serializable(with = DurationSerializer::class)
    val firstToken: Duration? = null,
    @AllowedRange("1ms", "1m")
    @Serializable(with = DurationSerializer::class)
    val betweenTokens: Duration? = null,
)
