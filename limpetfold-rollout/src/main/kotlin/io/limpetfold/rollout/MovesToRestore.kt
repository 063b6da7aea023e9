package io.limpetfold.rollout

/** Finds moves that a restore of the store took back, and how they end. Pure. */
internal object MovesToRestore {
    /**
     * Returns the records to write again of the [known] moves that [stored] lacks.
     *
     * An outcome is kept. A move that was running, and whose start is lost, is rolled back: other routers follow an
     * earlier move.
     */
    fun find(
        known: List<MoveSnapshot>,
        stored: StoredMoves,
    ): List<MoveRecord> {
        val byRoute = stored.moves.mapNotNull { it.value }.associateBy { it.route }
        return known
            .filter { it.version.era < stored.era }
            .mapNotNull { snapshot -> toWrite(snapshot.record, byRoute[snapshot.record.route]) }
    }

    /** Returns what to write in place of [stored], which the store holds in a later era; null to leave it. */
    fun toWrite(
        known: MoveRecord,
        stored: MoveRecord?,
    ): MoveRecord? =
        when {
            stored != null && !known.isRevertedByRestoreTo(stored) -> null
            known.phase.isFinal -> known
            else -> known.copy(phase = MovePhase.TakenBack(TakeBackReason.StoreRestored))
        }
}
