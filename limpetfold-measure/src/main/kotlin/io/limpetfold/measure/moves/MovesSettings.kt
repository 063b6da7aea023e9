package io.limpetfold.measure.moves

import io.limpetfold.rollout.MovePreset
import java.time.Duration

/**
 * Settings of [MovesMeasurement].
 *
 * @property seeds runs for each workload, policy and kind of version.
 * @property duration time from the start of the moves to their deadline.
 * @property hasBaseline whether [FixedSteps] runs in addition to [presets].
 */
data class MovesSettings(
    val seeds: Int = 100,
    val routers: Int = 8,
    val duration: Duration = Duration.ofMinutes(5),
    val workloads: List<MoveWorkload> = MoveWorkload.DEFAULTS,
    val presets: List<MovePreset> = MovePreset.entries,
    val kinds: List<VersionKind> = VersionKind.entries,
    val hasBaseline: Boolean = true,
)
