package io.limpetfold.peer

import io.limpetfold.core.Incarnation

/** Answers requests of one topic. */
fun interface PeerHandler<Q : Any, A : Any> {
    /** Answers [message], which [from] sent; [from] is the sender's authenticated incarnation. */
    suspend fun answer(
        from: Incarnation,
        message: Q,
    ): A
}
