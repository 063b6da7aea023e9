package io.limpetfold.membership

import io.limpetfold.core.Incarnation

/** A change found by a step of the [MemberTable]. */
internal sealed interface MemberChange {
    /** A router became reachable, or a new incarnation of it was seen. */
    data class Joined(
        val member: Member,
    ) : MemberChange

    /** No heartbeat arrived within the timeout; the router may still run. */
    data class Unreachable(
        val member: Member,
    ) : MemberChange

    /** A newer incarnation of the same instance was seen. */
    data class Ended(
        val incarnation: Incarnation,
    ) : MemberChange
}
