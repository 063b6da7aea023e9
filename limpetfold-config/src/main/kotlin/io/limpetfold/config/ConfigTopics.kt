package io.limpetfold.config

import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** The messages by which routers pass generations on. */
object ConfigTopics {
    /** Asks for the peer's generation if it is newer. */
    val FETCH: PeerTopic<Fetch, Fetched> = PeerTopic("config.fetch", Fetch.serializer(), Fetched.serializer())

    /** @property knownGeneration the asker's generation; 0 for none. */
    @Serializable
    data class Fetch(
        val knownGeneration: Long,
    )

    /**
     * @property generation the peer's generation; 0 for none.
     * @property config null when it is not newer than the asker's.
     */
    @Serializable
    data class Fetched(
        val generation: Long,
        val config: FleetConfig? = null,
    )
}
