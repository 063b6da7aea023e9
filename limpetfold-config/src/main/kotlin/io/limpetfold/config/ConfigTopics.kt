package io.limpetfold.config

import io.limpetfold.peer.PeerTopic
import kotlinx.serialization.Serializable

/** The peer messages by which routers fetch generations from each other. */
object ConfigTopics {
    /** Requests the peer's generation if it is newer than the sender's. */
    val FETCH: PeerTopic<FetchRequest, FetchResponse> =
        PeerTopic("config.fetch", FetchRequest.serializer(), FetchResponse.serializer())

    /** @property knownGeneration the generation of the requesting router; 0 for none. */
    @Serializable
    data class FetchRequest(
        val knownGeneration: Long,
    )

    /**
     * @property generation the peer's generation; 0 for none.
     * @property config null when it is not newer than [FetchRequest.knownGeneration].
     */
    @Serializable
    data class FetchResponse(
        val generation: Long,
        val config: FleetConfig? = null,
    )
}
