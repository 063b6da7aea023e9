package io.limpetfold.publish

import io.limpetfold.config.FleetConfig
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MoveRecord
import java.time.Instant

/**
 * Compares the active versions of a configuration with the moves of its routes.
 *
 * A generation that is published after a move ended replaces the move's outcome, so a file that still names the old version would take
 * all traffic back without a word.
 */
internal object MoveCheck {
    /** Returns one sentence for each route whose active version contradicts its move. */
    fun problems(
        config: FleetConfig,
        moves: List<MoveRecord>,
        nowMillis: Long,
    ): List<String> =
        moves.mapNotNull { move ->
            val active = config.route(move.route)?.activeVersion
            val inForce = move.effectiveVersionAt(nowMillis)
            when {
                active == null || active == inForce -> null
                move.phaseAt(nowMillis) is MovePhase.Running ->
                    if (active == move.oldVersion) {
                        null
                    } else {
                        "route ${move.route}: move ${move.id} from ${move.oldVersion} to ${move.newVersion} runs; " +
                            "keep activeVersion: ${move.oldVersion} until it has ended"
                    }
                else ->
                    "route ${move.route}: move ${move.id}, ended by ${move.changedBy} at ${Instant.ofEpochMilli(move.endedAtMillis)}, " +
                        "put $inForce in force; write activeVersion: $inForce, or add --replace-moves to send all traffic to $active at once"
            }
        }
}
