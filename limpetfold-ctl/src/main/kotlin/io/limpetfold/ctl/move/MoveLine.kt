package io.limpetfold.ctl.move

import io.limpetfold.ctl.Table
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MoveRecord
import io.limpetfold.rollout.TakeBackReason
import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * A move as `limpetfold-ctl` prints it.
 *
 * @property unconfirmed routers that have not confirmed the outcome; null until the move controller has asked them.
 */
@Serializable
internal data class MoveLine(
    val route: String,
    val move: String,
    val oldVersion: String,
    val newVersion: String,
    val phase: String,
    val weight: Double,
    val operator: String,
    val deadline: String,
    val changedBy: String,
    val changedAt: String,
    val unconfirmed: List<String>?,
) {
    companion object {
        fun of(
            record: MoveRecord,
            now: Instant,
        ) = MoveLine(
            record.route.value,
            record.id.value,
            record.oldVersion.value,
            record.newVersion.value,
            describe(record.phaseAt(now.toEpochMilli()), record.plan.steps.size),
            record.weight,
            record.operator,
            Instant.ofEpochMilli(record.deadlineMillis).toString(),
            record.changedBy,
            Instant.ofEpochMilli(record.changedAtMillis).toString(),
            record.unconfirmed?.map { it.value },
        )

        fun table(lines: List<MoveLine>): String =
            Table.format(
                listOf("ROUTE", "MOVE", "FROM", "TO", "PHASE", "BY", "DEADLINE", "NOT CONFIRMED"),
                lines.map {
                    listOf(
                        it.route,
                        it.move,
                        it.oldVersion,
                        it.newVersion,
                        it.phase,
                        it.changedBy,
                        it.deadline,
                        it.unconfirmed?.joinToString(",")?.ifEmpty { "none" } ?: "-",
                    )
                },
            )

        /** Describes [phase] for operators. */
        fun describe(
            phase: MovePhase,
            stepCount: Int,
        ): String =
            when (phase) {
                is MovePhase.Running -> "running (step ${phase.step + 1} of $stepCount)"
                MovePhase.Completed -> "completed"
                is MovePhase.TakenBack -> "taken back: ${describe(phase.reason)}"
            }

        private fun describe(reason: TakeBackReason): String =
            when (reason) {
                is TakeBackReason.Evidence -> "worse ${reason.metric.name.lowercase()}"
                is TakeBackReason.RouterVerdict ->
                    "verdict of ${reason.verdict.router} on ${reason.verdict.metric.name.lowercase()}"
                is TakeBackReason.NoProgress -> "only ${reason.outcomes} outcomes"
                is TakeBackReason.TooLate -> "too late, not heard: ${reason.unheard.joinToString(",")}"
                TakeBackReason.DeadlinePassed -> "deadline passed"
                TakeBackReason.StoreRestored -> "grants lost in a restore of the store"
                is TakeBackReason.Operator -> "by operator ${reason.name}"
            }
    }
}
