package io.limpetfold.config

/**
 * A publication that is in force.
 *
 * @property isChanged false when the same content was in force before, so that nothing was written.
 */
data class PublishResult(
    val config: FleetConfig,
    val isChanged: Boolean,
)
