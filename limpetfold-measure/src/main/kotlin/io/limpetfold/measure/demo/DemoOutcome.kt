package io.limpetfold.measure.demo

import kotlinx.serialization.Serializable

/**
 * What the demo's callers were told, kept until the routers have stopped and the ledger is final.
 *
 * @property billedTokens the sum of the usage blocks that callers received.
 */
@Serializable
internal data class DemoOutcome(
    val workspace: String,
    val settledTokensBefore: Long,
    val billedTokens: Long,
    val idempotencyKey: String,
)
