package io.limpetfold.peer

import kotlinx.serialization.KSerializer

/**
 * A kind of request between routers, with the types of its messages; each component declares its own topics.
 *
 * @property name unique within the fleet, for example `budget.transfer`.
 */
class PeerTopic<Q : Any, A : Any>(
    val name: String,
    val requestSerializer: KSerializer<Q>,
    val replySerializer: KSerializer<A>,
) {
    override fun toString(): String = name
}
