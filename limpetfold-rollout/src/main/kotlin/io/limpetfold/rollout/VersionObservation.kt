package io.limpetfold.rollout

import java.time.Duration

/**
 * How a request ended at the endpoint.
 *
 * @property isSuccess false for failures of the endpoint. Calls that the caller cancelled or the router refused must
 *   not be reported.
 * @property latency time to the complete response of a plain call; null for streamed model calls, whose duration
 *   depends on the request.
 * @property firstToken time to the first token of a model call.
 * @property betweenTokens mean time between tokens of a model call.
 */
data class VersionObservation(
    val isSuccess: Boolean,
    val latency: Duration? = null,
    val firstToken: Duration? = null,
    val betweenTokens: Duration? = null,
)
