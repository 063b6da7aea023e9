package io.limpetfold.config

/**
 * The result of a successful publication.
 *
 * @property isChanged false when the same content was already published, so that nothing was written.
 */
data class PublishResult(
    val config: FleetConfig,
    val isChanged: Boolean,
)
