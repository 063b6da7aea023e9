package io.limpetfold.gateway

import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.dispatch.FleetRetryBudgetPolicy
import io.limpetfold.dispatch.PickerPolicy
import io.limpetfold.gateway.call.CallPolicy
import io.limpetfold.gateway.operate.ShutdownPolicy
import io.limpetfold.http.ConnectionLimits
import io.limpetfold.http.HostPort
import io.limpetfold.store.ObjectKey
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import java.time.Duration

/**
 * Settings of a [Gateway].
 *
 * @property instance the IP address of the instance, because the platform identifies seed routers by address.
 * @property callerListenAddress address for callers.
 * @property readinessListenAddress address for the readiness probe of the platform.
 * @property metricsListenAddress address at which metrics are scraped.
 * @property peerListenAddress address for other routers; the port is the same on all instances.
 * @property seedHosts addresses of other routers, used until the instance list has been read; may be stale.
 * @property fleetSecret shared secret with which routers authenticate each other.
 * @property contactTime time after a failure of a connection within which a router must follow the store again.
 * @property configKey key of the object that holds the configuration.
 * @property endpointPrefix key prefix of the objects that list endpoints.
 * @property movePrefix key prefix of the objects that order moves between versions.
 * @property linkCapacityMbps the capacity of the instance's network link, in Mbit/s, by which routers choose those that pass
 * changes on; 0 if it is not known.
 * @property callerLimits limits of callers' connections where the configuration states none.
 */
data class GatewaySettings(
    val instance: InstanceId,
    val zone: ZoneId,
    val callerListenAddress: HostPort,
    val readinessListenAddress: HostPort,
    val metricsListenAddress: HostPort,
    val peerListenAddress: HostPort,
    val fleetSecret: String,
    val configKey: ObjectKey,
    val endpointPrefix: String,
    val movePrefix: String,
    val retryBudget: FleetRetryBudgetPolicy,
    val seedHosts: ImmutableList<String> = persistentListOf(),
    val budget: BudgetPolicy = GatewayDefaults.BUDGET,
    val picker: PickerPolicy = PickerPolicy(),
    val calls: CallPolicy = CallPolicy(),
    val callerLimits: ConnectionLimits = GatewayDefaults.CALLER_LIMITS,
    val contactTime: Duration = DEFAULT_CONTACT_TIME,
    val shutdown: ShutdownPolicy = ShutdownPolicy(),
    val linkCapacityMbps: Double = 0.0,
) {
    private companion object {
        val DEFAULT_CONTACT_TIME: Duration = Duration.ofSeconds(3)
    }
}
