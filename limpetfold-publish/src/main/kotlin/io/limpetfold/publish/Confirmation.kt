package io.limpetfold.publish

import io.limpetfold.config.RouterStatus
import io.limpetfold.core.InstanceId
import io.limpetfold.peer.ListedInstance
import java.time.Duration
import java.time.Instant

/**
 * Which routers have a generation in force.
 *
 * @property missing what is known of each router that has not confirmed it.
 */
internal data class Confirmation(
    val confirmed: Set<InstanceId>,
    val missing: Map<InstanceId, String>,
) {
    val isComplete: Boolean get() = missing.isEmpty()

    companion object {
        /** The platform's list lags by a minute, so a router may report before it is listed. */
        private val UNLISTED_LIFE: Duration = Duration.ofMinutes(1)

        /**
         * Compares the listed routers with what they reported.
         *
         * Leaving and draining routers take no new requests and are left out. A router that is not listed counts while its report is
         * fresh.
         */
        fun evaluate(
            listed: List<ListedInstance>,
            statuses: List<RouterStatus>,
            generation: Long,
            now: Instant,
        ): Confirmation {
            val reports = statuses.associateBy { it.instance }
            val routers = listed.filter { it.service == ListedInstance.ROUTER_SERVICE }.associateBy { it.instance }
            val unlisted = statuses.filter { it.instance !in routers && it.updatedAt > now.minus(UNLISTED_LIFE) }
            val expected =
                (routers.filterValues { !it.isLeaving }.keys + unlisted.map { it.instance })
                    .filterNot { reports[it]?.isDraining == true }
            val missing =
                expected.filterNot { (reports[it]?.generation ?: -1) >= generation }.sorted().associateWith { instance ->
                    val report = reports[instance]
                    val zone = report?.zone ?: routers[instance]?.zone
                    val known = report?.let { "generation ${it.generation}, reported ${it.updatedAt}" } ?: "no report"
                    "$known, zone $zone"
                }
            return Confirmation(expected.toSet() - missing.keys, missing)
        }
    }
}
