package io.limpetfold.publish

import io.limpetfold.config.RouterStatus
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.ListedInstance
import java.time.Duration
import java.time.Instant

/**
 * Which routers have confirmed a generation.
 *
 * @property unconfirmed each router that has not confirmed it, with a description of its last report.
 */
internal data class Confirmation(
    val confirmed: Set<InstanceId>,
    val unconfirmed: Map<InstanceId, String>,
) {
    val isComplete: Boolean get() = unconfirmed.isEmpty()

    companion object {
        /**
         * How long the report of an unlisted router counts. The platform's instance list lags by a minute, so a router
         * may report before it is listed.
         */
        private val UNLISTED_REPORT_TTL: Duration = Duration.ofMinutes(1)

        /**
         * Compares the listed routers with what they reported.
         *
         * Leaving and draining routers accept no new requests and are left out. A router that is not listed counts
         * until its report is older than [UNLISTED_REPORT_TTL].
         */
        fun evaluate(
            listed: List<ListedInstance>,
            statuses: List<RouterStatus>,
            generation: Long,
            now: Instant,
        ): Confirmation {
            val reports = statuses.associateBy { it.instance }
            val routers = listed.filter { it.service == ListedInstance.ROUTER_SERVICE }.associateBy { it.instance }
            val unlisted = statuses.filter { it.instance !in routers && it.updatedAt > now.minus(UNLISTED_REPORT_TTL) }
            val expected =
                (routers.filterValues { !it.isLeaving }.keys + unlisted.map { it.instance })
                    .filterNot { reports[it]?.isDraining == true }
            val isBehind = { instance: InstanceId -> (reports[instance]?.generation ?: -1) < generation }
            val unconfirmed =
                expected.filter(isBehind).sorted().associateWith { instance ->
                    val report = reports[instance]
                    val zone = report?.zone ?: routers[instance]?.zone
                    val lastReport =
                        report?.let { "generation ${it.generation}, reported ${it.updatedAt}" } ?: "no report"
                    "$lastReport, zone $zone"
                }
            return Confirmation(expected.toSet() - unconfirmed.keys, unconfirmed)
        }
    }
}
