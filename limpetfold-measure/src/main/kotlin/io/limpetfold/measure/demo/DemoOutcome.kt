package io.limpetfold.measure.demo

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What the demo's callers received, stored until the routers have stopped and the ledger is final.
 *
 * @property settledTokensBefore settled tokens in the workspace's ledger before the first call.
 * @property reportedTokens the sum of the usage blocks that callers received.
 */
@Serializable
internal data class DemoOutcome(
    val workspace: String,
    val settledTokensBefore: Long,
    @SerialName("billedTokens") val reportedTokens: Long,
    val idempotencyKey: String,
)
