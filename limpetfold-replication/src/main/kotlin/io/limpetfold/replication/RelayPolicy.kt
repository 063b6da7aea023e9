package io.limpetfold.replication

import java.time.Duration

/**
 * Times and limits of a [RelayedObjectStore].
 *
 * The wait of a watch bounds how late a change arrives: a relay that stops without closing its connections delays it by
 * the wait and [responseMargin], and one that is cut from the store by the wait and [freshnessMargin].
 *
 * @property responseMargin the time beyond the wait of a watch after which a relay that has not replied is suspended.
 * @property suspension how long a relay that failed or had no current state is not asked.
 * @property relaysPerWatch the number of relays that are asked before the store is.
 * @property servingTime how long after a request of a peer a router keeps watching the store itself.
 * @property freshnessMargin how much longer than its wait a watch of the store may take before the state counts as
 * outdated.
 */
data class RelayPolicy(
    val responseMargin: Duration = RESPONSE_MARGIN,
    val suspension: Duration = Duration.ofSeconds(2),
    val relaysPerWatch: Int = 2,
    val servingTime: Duration = Duration.ofSeconds(5),
    val freshnessMargin: Duration = FRESHNESS_MARGIN,
) {
    init {
        require(responseMargin > Duration.ZERO && relaysPerWatch > 0) {
            "responseMargin and relaysPerWatch must be positive"
        }
    }

    private companion object {
        val RESPONSE_MARGIN: Duration = Duration.ofMillis(500)

        /** Covers the pause of a feed after a change and the response time of the store. */
        val FRESHNESS_MARGIN: Duration = Duration.ofMillis(700)
    }
}
