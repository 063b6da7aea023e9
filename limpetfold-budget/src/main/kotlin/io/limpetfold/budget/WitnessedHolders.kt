package io.limpetfold.budget

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * What a router knows of the holders of a workspace that announced their ceilings to it.
 *
 * @property ceilingTokens the highest ceiling of each holder on its cumulative acquired tokens, by holder key.
 * @property recentHolders the holders whose entry may be younger than a copy of the store.
 */
data class WitnessedHolders(
    val ceilingTokens: PersistentMap<String, Long> = persistentMapOf(),
    val recentHolders: PersistentSet<String> = persistentSetOf(),
)
