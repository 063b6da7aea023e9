package io.limpetfold.router.call

import io.limpetfold.rollout.VersionChoice
import io.limpetfold.rollout.VersionSelector

/** The resources of all attempts of one call; [close] releases what they still hold, whatever ended the call. */
internal class CallResources : AutoCloseable {
    private val attempts = mutableListOf<AttemptResources>()

    /** Takes ownership of [versionChoice], to which a slot may be added. */
    fun own(
        versionChoice: VersionChoice,
        versionSelector: VersionSelector,
    ): AttemptResources = AttemptResources(versionChoice, versionSelector).also(attempts::add)

    override fun close() = attempts.forEach { it.discard() }
}
