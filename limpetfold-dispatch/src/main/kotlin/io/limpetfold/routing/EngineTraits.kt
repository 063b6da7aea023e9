package io.limpetfold.routing

/**
 * What the configuration says of the model engines of a service.
 *
 * @property slots requests that one engine processes at once.
 * @property cacheTokens the memory of one engine, shared by running requests and cached prompt parts.
 * @property tokensPerEvent generated tokens that one event of a stream holds.
 */
data class EngineTraits(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int,
)
