package io.limpetfold.claim

import kotlin.time.TimeMark

/**
 * A claim of another router that this process keeps.
 *
 * @property era the era of the store that has the claim, once its router has written it.
 * @property keptAt since when it is kept for [era].
 */
internal data class WitnessedClaim(
    val hash: String,
    val record: ClaimRecord,
    val era: Long,
    val keptAt: TimeMark,
)
