package io.limpetfold.config

/** Events of a [ConfigWatcher]; called on the coroutine that received the generation. */
interface ConfigListener {
    /** [config] replaced an older generation. */
    fun onAccepted(
        config: FleetConfig,
        source: ConfigSource,
    ) = Unit

    /** A newer [generation] was refused because of [problems]; no part of it takes effect. */
    fun onRefused(
        generation: Long,
        source: ConfigSource,
        problems: List<ConfigProblem>,
    ) = Unit

    companion object {
        val NONE: ConfigListener = object : ConfigListener {}
    }
}
