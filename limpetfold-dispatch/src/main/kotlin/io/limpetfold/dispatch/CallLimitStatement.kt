package io.limpetfold.dispatch

import java.time.Duration

/**
 * What an endpoint said about the calls that it takes from all routers together.
 *
 * @property callsPerSecond null if it takes calls without a limit.
 * @property statedAt when the response that said so arrived, at this router or another one.
 */
data class CallLimitStatement(
    val callsPerSecond: Double?,
    val statedAt: Duration,
)
