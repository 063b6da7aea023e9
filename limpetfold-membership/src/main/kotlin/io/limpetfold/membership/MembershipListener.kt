package io.limpetfold.membership

import io.limpetfold.core.Incarnation

/** Receives changes of the fleet's membership, on the coroutine that found them. */
interface MembershipListener {
    /** A router was heard for the first time, or again after a silence. */
    fun memberJoined(member: Member) = Unit

    /** A router was not heard for the silence timeout; it may still run. */
    fun memberUnreachable(member: Member) = Unit

    /** A newer incarnation of the same instance was heard, which proves that [ended] no longer runs. */
    fun incarnationEnded(ended: Incarnation) = Unit

    companion object {
        /** Ignores all changes. */
        val NONE: MembershipListener = object : MembershipListener {}
    }
}
