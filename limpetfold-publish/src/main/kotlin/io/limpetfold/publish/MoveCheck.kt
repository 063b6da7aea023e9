package io.limpetfold.publish

import io.limpetfold.config.FleetConfig
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MoveRecord
import java.time.Instant

/**
 * Compares the active versions of a configuration with the moves of its routes.
 *
 * A generation that is published after a move has ended overrides the outcome of the move. A file that still names the
 * old version would therefore take all traffic back without a warning.
 */
internal object MoveCheck {
    /** Returns one message for each route whose active version conflicts with its move. */
    fun problems(
        config: FleetConfig,
        moves: List<MoveRecord>,
        nowMillis: Long,
    ): List<String> =
        moves.mapNotNull { move ->
            val active = config.route(move.route)?.activeVersion
            val effective = move.effectiveVersionAt(nowMillis)
            when {
                active == null || active == effective -> null
                move.phaseAt(nowMillis) is MovePhase.Running ->
                    if (active == move.oldVersion) {
                        null
                    } else {
                        "route ${move.route}: " +
                            "move ${move.id} from ${move.oldVersion} to ${move.newVersion} is running; " +
                            "keep activeVersion: ${move.oldVersion} until it has ended"
                    }
                else -> {
                    val endedAt = Instant.ofEpochMilli(move.endedAtMillis)
                    "route ${move.route}: move ${move.id}, ended by ${move.changedBy} at $endedAt, " +
                        "made $effective the effective version; write activeVersion: $effective, " +
                        "or add --replace-moves to send all traffic to $active at once"
                }
            }
        }
}
