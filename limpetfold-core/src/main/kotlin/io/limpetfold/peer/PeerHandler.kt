package io.limpetfold.peer

import io.limpetfold.core.Incarnation

/** Handles the requests of one topic. */
fun interface PeerHandler<Q : Any, A : Any> {
    /** Returns the reply to [message]; [from] is the authenticated incarnation of the sender. */
    suspend fun handle(
        from: Incarnation,
        message: Q,
    ): A
}
