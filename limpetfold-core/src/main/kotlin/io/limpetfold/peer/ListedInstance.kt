package io.limpetfold.peer

import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import kotlinx.serialization.Serializable

/**
 * An instance as the platform's list shows it: a router or an endpoint.
 *
 * @property service the service that the instance runs, for example `jezik`; routers are listed under [ROUTER_SERVICE].
 * @property host an IP address.
 * @property port the peer port of a router, or the service port of an endpoint.
 * @property linkCapacityMbps the capacity of the instance's network link, in Mbit/s; 0 if it is not known.
 */
@Serializable
data class ListedInstance(
    val instance: InstanceId,
    val service: String,
    val version: VersionId,
    val zone: ZoneId,
    val host: String,
    val port: Int,
    val isLeaving: Boolean = false,
    val linkCapacityMbps: Double = 0.0,
) {
    companion object {
        /** The service name under which the platform lists the routers of the fleet. */
        const val ROUTER_SERVICE = "limpetfold-router"
    }
}
