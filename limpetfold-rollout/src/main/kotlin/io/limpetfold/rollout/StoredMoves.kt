package io.limpetfold.rollout

import io.limpetfold.store.Versioned

/** The moves in the store with their object versions, and the era of the store in which they were read. */
internal class StoredMoves(
    val moves: List<Versioned<MoveRecord>>,
    val era: Long,
)
