package io.limpetfold.router.operate

import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.membership.Membership

/** What the router with [self] in [zone] knows of the other routers of its fleet. */
internal class OtherRouters(
    private val self: InstanceId,
    private val zone: ZoneId,
    private val membership: Membership,
) {
    /** The instances that the platform lists or that were heard a moment ago. */
    fun listedOrHeard(): Set<InstanceId> =
        (membership.otherListedRouters().map { it.instance } + membership.members().map { it.instance }).toSet()

    /** The seats that all other listed routers report; null while one that may run is not heard, or the list is unknown. */
    fun seats(): Set<Int>? {
        val members = membership.members()
        val heard = members.mapTo(HashSet()) { it.instance }
        val isComplete = membership.hasDirectory && membership.otherListedRouters().all { it.instance in heard }
        return if (isComplete) members.mapNotNullTo(HashSet()) { it.seat } else null
    }

    /** The instances, this one included, that may have claimed idempotency keys; null while the list is unknown. */
    fun claiming(): Set<InstanceId>? = if (membership.hasDirectory) listedOrHeard() + self else null

    fun isInSameZone(router: InstanceId): Boolean =
        membership.otherListedRouters().any { it.instance == router && it.zone == zone }
}
