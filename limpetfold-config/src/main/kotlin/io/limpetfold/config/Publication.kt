package io.limpetfold.config

import kotlinx.serialization.Serializable
import java.time.Instant

/**
 * Who published a generation and when.
 *
 * @property contentHash [FleetConfig.contentHash] of the generation; a router refuses a value that does not match it.
 */
@Serializable
data class Publication(
    val author: String,
    @Serializable(with = InstantText::class)
    val publishedAt: Instant,
    val contentHash: String,
)
