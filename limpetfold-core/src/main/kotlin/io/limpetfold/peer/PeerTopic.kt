package io.limpetfold.peer

import kotlinx.serialization.KSerializer

/**
 * A kind of request between routers; each duty declares its own.
 *
 * @property name unique within the fleet, as in `budget.transfer`.
 */
class PeerTopic<Q : Any, A : Any>(
    val name: String,
    val requestSerializer: KSerializer<Q>,
    val replySerializer: KSerializer<A>,
) {
    override fun toString(): String = name
}
