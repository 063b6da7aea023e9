package io.limpetfold.rollout

/** The outcomes that running routers knew when the store was restored, which the fleet has to keep. */
internal class KnownOutcomes {
    private class Known(
        val record: MoveRecord,
        val router: String,
        val isUndisturbed: () -> Boolean,
    )

    private val known = mutableListOf<Known>()

    /** Records that [router] knew [moves] at a restore; [isUndisturbed] tells later whether it was in contact since. */
    fun onRestored(
        router: String,
        moves: List<MoveRecord>,
        isUndisturbed: () -> Boolean,
    ) {
        known += moves.filter { it.phase.isFinal }.map { Known(it, router, isUndisturbed) }
    }

    /** Returns what is wrong with [stored], the move in the store at the end; [running] are the routers of the end. */
    fun violation(
        stored: MoveRecord?,
        running: Set<String>,
    ): String? =
        known.filter { it.router in running }.firstNotNullOfOrNull { known ->
            val record = known.record
            val isTakenBack = record.phase is MovePhase.TakenBack
            when {
                stored != null && stored.id != record.id && stored.startedAtMillis >= record.startedAtMillis -> null
                stored?.id == record.id && stored.phase::class == record.phase::class -> null
                // A router that was cut off can't tell the others of a completion before they roll the move back.
                stored?.id == record.id && !isTakenBack && !known.isUndisturbed() -> null
                else ->
                    "${known.router} knew ${record.id} as ${record.phase}, " +
                        "the store has ${stored?.id} ${stored?.phase}"
            }
        }
}
