package io.limpetfold.peer.ktor

import io.limpetfold.core.InstanceId

/** Decides which of two connections between the same pair of routers stays open; both sides reach the same decision. */
internal object DuplicateConnectionResolver {
    /**
     * Returns why [candidate] is refused, or null if it replaces [existing].
     *
     * @param newestNumber the highest incarnation number seen so far for the peer's instance.
     */
    fun refusal(
        existing: PeerConnection?,
        candidate: PeerConnection,
        newestNumber: Long,
    ): String? =
        when {
            candidate.peer.number < newestNumber -> "a newer incarnation of ${candidate.peer.instance} was seen"
            existing == null || candidate.peer.number > existing.peer.number -> null
            // Both sides dialled at the same time.
            existing.isPreferred && !candidate.isPreferred -> "a connection of this pair exists"
            else -> null
        }

    /** Of two connections of a pair, the one dialled by the instance with the smaller name is preferred. */
    fun isPreferred(
        dialer: InstanceId,
        acceptor: InstanceId,
    ): Boolean = dialer < acceptor
}
