package io.limpetfold.config

import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * Who published a generation and when.
 *
 * @property contentHash [FleetConfig.contentHash] of the generation; routers refuse a generation whose content does not
 *   match it.
 */
@Serializable
data class Publication(
    val author: String,
    @Serializable(with = InstantSerializer::class)
    val publishedAt: Instant,
    val contentHash: String,
)
