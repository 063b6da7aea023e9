package io.limpetfold.rollout

import java.time.Duration

/**
 * How a request ended at the endpoint.
 *
 * @property isSuccess false for failures of the endpoint; do not report cancelled callers and refusals of the router.
 * @property latency until the whole answer of a plain call; null for streamed model calls, whose length depends on the request.
 * @property firstToken until the first token of a model call.
 * @property betweenTokens mean time between tokens of a model call.
 */
data class VersionObservation(
    val isSuccess: Boolean,
    val latency: Duration? = null,
    val firstToken: Duration? = null,
    val betweenTokens: Duration? = null,
)
