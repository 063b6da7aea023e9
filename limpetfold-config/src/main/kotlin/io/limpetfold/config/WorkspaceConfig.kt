package io.limpetfold.config

import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.ImmutableList
import kotlinx.serialization.Serializable

/**
 * A workspace that may call the fleet.
 *
 * @property keyHashes SHA-256 of each valid key in lower-case hexadecimal; see [Sha256Hex].
 * @property weight share of a contended queue, relative to the weights of the other workspaces.
 * @property budget trade-off preset for its budget grants.
 */
@Serializable
data class WorkspaceConfig(
    @AllowedPattern(AllowedPattern.NAME)
    val workspace: WorkspaceId,
    @AllowedPattern(AllowedPattern.SHA256)
    @Serializable(with = ImmutableListSerializer::class)
    val keyHashes: ImmutableList<String>,
    @AllowedRange("1", "1000")
    val weight: Int = 1,
    val budget: TradeoffPreset = TradeoffPreset.AVAILABILITY,
)
