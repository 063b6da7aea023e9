package io.limpetfold.peer.ktor

import io.limpetfold.core.InstanceId

/** Decides which of two connections of a pair stays; both sides come to the same result. */
internal object ConnectionChoice {
    /**
     * Returns why [candidate] is refused, or null when it takes the place of [existing].
     *
     * @param newestNumber the largest incarnation number of the peer's instance seen so far.
     */
    fun refusal(
        existing: PeerConnection?,
        candidate: PeerConnection,
        newestNumber: Long,
    ): String? =
        when {
            candidate.peer.number < newestNumber -> "a newer incarnation of ${candidate.peer.instance} was seen"
            existing == null || candidate.peer.number > existing.peer.number -> null
            // Both sides connected at the same time.
            existing.isPreferred && !candidate.isPreferred -> "a connection of this pair exists"
            else -> null
        }

    /** Of two connections of a pair, the one that the smaller name opened stays. */
    fun isPreferred(
        dialer: InstanceId,
        acceptor: InstanceId,
    ): Boolean = dialer < acceptor
}
