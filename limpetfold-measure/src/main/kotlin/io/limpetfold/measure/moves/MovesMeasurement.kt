package io.limpetfold.measure.moves

import io.limpetfold.rollout.MovePreset
import java.util.stream.IntStream

/** Measures the outcomes of moves to good and bad versions. Runs the decision logic over fakes and a test clock. */
class MovesMeasurement {
    /** Runs the simulations in parallel; the same [settings] give the same report. */
    fun run(settings: MovesSettings): MovesReport {
        val policies =
            settings.presets.map { Policy.Preset(it) } +
                if (settings.hasBaseline) listOf(Policy.Baseline) else emptyList()
        val rows =
            settings.workloads.flatMap { workload ->
                policies.flatMap { policy -> settings.kinds.map { kind -> row(settings, workload, policy, kind) } }
            }
        return MovesReport(settings.seeds, settings.routers, settings.duration.toSeconds(), rows)
    }

    private fun row(
        settings: MovesSettings,
        workload: MoveWorkload,
        policy: Policy,
        kind: VersionKind,
    ): MovesRow {
        val results =
            IntStream
                .range(0, settings.seeds)
                .parallel()
                .mapToObj { seed ->
                    MoveSimulation(workload, kind, settings, seed.toLong()).run { clock, random ->
                        when (policy) {
                            is Policy.Preset ->
                                ControlledMoves(
                                    clock,
                                    settings.duration,
                                    policy.preset,
                                    settings.routers,
                                )
                            Policy.Baseline -> FixedSteps(clock, settings.duration, random)
                        }
                    }
                }.toList()
                .flatten()
        val (bad, good) = results.partition { it.isBad }
        return MovesRow(
            workload = workload.name,
            policy = policy.name,
            kind = kind,
            goodMoves = good.size,
            goodMovedInTime = good.count { it.hasCompleted },
            badMoves = bad.size,
            badTakenBack = bad.count { !it.hasCompleted },
            badRequests = Spread.of(bad.map { it.badRequests }),
            requestsAfterShown = Spread.of(bad.map { it.requestsAfterShown }),
        )
    }

    private sealed interface Policy {
        val name: String

        data class Preset(
            val preset: MovePreset,
        ) : Policy {
            override val name get() = preset.name.lowercase()
        }

        data object Baseline : Policy {
            override val name get() = "fixed steps"
        }
    }
}
