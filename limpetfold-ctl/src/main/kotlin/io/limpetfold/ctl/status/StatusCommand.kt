package io.limpetfold.ctl.status

import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouterStatus
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.SessionCommand
import io.limpetfold.ctl.Table
import io.limpetfold.ctl.move.MoveLine
import io.limpetfold.lease.LeaseClient
import io.limpetfold.lease.LeaseRecord
import io.limpetfold.peer.ListedInstance
import io.limpetfold.rollout.MoveRecord
import io.limpetfold.store.TypedObject
import kotlinx.serialization.Serializable
import java.time.Instant

/** Shows the fleet: routers, endpoints, the move lease and moves. */
internal class StatusCommand : SessionCommand("status", "Shows the routers, endpoints, lease and moves of the fleet.") {
    override suspend fun run(session: CtlSession) {
        val listed = session.directory.list().orFail()
        val config = TypedObject(session.store, FleetConfig.KEY, FleetConfig.serializer()).read().orFail().value
        val lease =
            TypedObject(
                session.store,
                LeaseClient.MOVE_CONTROLLER_KEY,
                LeaseRecord.serializer(),
            ).read().orFail().value
        val statuses =
            session
                .readAll(
                    RouterStatus.PREFIX,
                    RouterStatus.serializer(),
                ).map { it.second }
                .associateBy { it.instance }
        val moves = session.readAll(MoveRecord.PREFIX, MoveRecord.serializer()).map { it.second }
        val status =
            FleetStatus(
                config?.generation ?: 0,
                lease?.holder?.key,
                lease?.fencing?.number ?: 0,
                listed
                    .filter {
                        it.service == ListedInstance.ROUTER_SERVICE
                    }.map { router(it, statuses[it.instance], session.clock.instant()) },
                listed.filter { it.service != ListedInstance.ROUTER_SERVICE }.map(::endpoint),
                moves.map { MoveLine.of(it, session.clock.instant()) },
            )
        show(status, FleetStatus.serializer(), ::text)
    }

    private fun router(
        listed: ListedInstance,
        status: RouterStatus?,
        now: Instant,
    ) = RouterLine(
        listed.instance.value,
        listed.zone.value,
        status?.incarnation,
        status?.generation,
        when {
            status == null -> "never reported"
            status.isDraining || listed.isLeaving -> "leaving"
            !status.isFresh(now) -> "silent"
            else -> "running"
        },
        status?.updatedAt?.toString(),
    )

    private fun endpoint(listed: ListedInstance) =
        EndpointLine(
            listed.instance.value,
            listed.service,
            listed.version.value,
            listed.zone.value,
            "${listed.host}:${listed.port}",
            if (listed.isLeaving) "leaving" else "live",
        )

    private fun text(status: FleetStatus): String =
        listOf(
            "configuration generation ${status.generation}",
            "move lease: holder ${status.leaseHolder ?: "none"}, fencing token ${status.fencing}",
            Table.format(
                listOf("ROUTER", "ZONE", "INCARNATION", "GENERATION", "STATE", "REPORTED"),
                status.routers.map {
                    listOf(
                        it.instance,
                        it.zone,
                        cell(it.incarnation),
                        cell(it.generation),
                        it.state,
                        cell(it.reportedAt),
                    )
                },
            ),
            Table.format(
                listOf("ENDPOINT", "SERVICE", "VERSION", "ZONE", "ADDRESS", "STATE"),
                status.endpoints.map { listOf(it.endpoint, it.service, it.version, it.zone, it.address, it.state) },
            ),
            if (status.moves.isEmpty()) "no moves" else MoveLine.table(status.moves),
        ).joinToString("\n\n")

    private fun cell(value: Any?): String = value?.toString() ?: "-"

    @Serializable
    private data class FleetStatus(
        val generation: Long,
        val leaseHolder: String?,
        val fencing: Long,
        val routers: List<RouterLine>,
        val endpoints: List<EndpointLine>,
        val moves: List<MoveLine>,
    )

    @Serializable
    private data class RouterLine(
        val instance: String,
        val zone: String,
        val incarnation: Long?,
        val generation: Long?,
        val state: String,
        val reportedAt: String?,
    )

    @Serializable
    private data class EndpointLine(
        val endpoint: String,
        val service: String,
        val version: String,
        val zone: String,
        val address: String,
        val state: String,
    )
}
