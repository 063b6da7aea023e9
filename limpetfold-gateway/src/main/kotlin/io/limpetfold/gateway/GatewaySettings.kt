package io.limpetfold.gateway

import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.dispatch.FleetRetryBudgetPolicy
import io.limpetfold.dispatch.PickerPolicy
import io.limpetfold.gateway.call.CallPolicy
import io.limpetfold.gateway.operate.ShutdownPolicy
import io.limpetfold.http.HostPort
import io.limpetfold.store.ObjectKey
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/**
 * Settings of a [Gateway].
 *
 * @property instance the IP address of the instance: the seeds of the platform name routers by it.
 * @property callerListenAddress where callers connect.
 * @property readinessListenAddress where the platform asks whether the router takes new connections.
 * @property metricsListenAddress where counters and histograms are served.
 * @property peerListenAddress where other routers connect; the port is the same on all instances.
 * @property seedHosts addresses of some routers, which may be stale.
 * @property fleetSecret a text that all routers share.
 * @property configKey the object that holds the configuration.
 * @property endpointPrefix the objects that list endpoints.
 * @property movePrefix the objects that order moves between versions.
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
    val retries: FleetRetryBudgetPolicy,
    val seedHosts: ImmutableList<String> = persistentListOf(),
    val budget: BudgetPolicy = GatewayDefaults.BUDGET,
    val picker: PickerPolicy = PickerPolicy(),
    val calls: CallPolicy = CallPolicy(),
    val stop: ShutdownPolicy = ShutdownPolicy(),
)
