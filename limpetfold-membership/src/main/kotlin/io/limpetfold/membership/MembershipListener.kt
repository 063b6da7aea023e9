package io.limpetfold.membership

import io.limpetfold.core.Incarnation

/** Receives changes of the membership, on the coroutine that detected them. */
interface MembershipListener {
    /** A router or a new incarnation of it sent its first heartbeat, or a router became reachable again. */
    fun memberJoined(member: Member) = Unit

    /** No heartbeat of a router arrived within [MembershipPolicy.heartbeatTimeout]; it may still run. */
    fun memberUnreachable(member: Member) = Unit

    /** A newer incarnation of the same instance sent a heartbeat, which proves that [ended] no longer runs. */
    fun onIncarnationEnded(ended: Incarnation) = Unit

    companion object {
        /** Ignores all changes. */
        val NONE: MembershipListener = object : MembershipListener {}
    }
}
