package io.limpetfold.routing

/**
 * The configured properties of a service's model engines.
 *
 * @property slots maximum number of requests that one engine processes concurrently.
 * @property cacheTokens cache size of one engine in tokens, shared by running requests and cached prompt parts; not
 * positive if it is unknown.
 * @property tokensPerEvent number of generated tokens in one event of a stream.
 */
data class EngineTraits(
    val slots: Int,
    val cacheTokens: Long,
    val tokensPerEvent: Int,
) {
    /** Whether one engine has room for a prompt of [inputTokens] while it runs nothing else. */
    fun canHold(inputTokens: Int): Boolean = cacheTokens <= 0 || inputTokens <= cacheTokens
}
