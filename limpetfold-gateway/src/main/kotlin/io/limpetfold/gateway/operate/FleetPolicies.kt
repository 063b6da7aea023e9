package io.limpetfold.gateway.operate

import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.gateway.state.FeedPolicy
import io.limpetfold.membership.Membership
import io.limpetfold.membership.MembershipPolicy
import io.limpetfold.peer.ktor.PeerPolicy
import java.time.Duration

/** The policies between routers, some of which depend on the size of the fleet as it is listed now. */
internal class FleetPolicies(
    private val budget: BudgetPolicy,
    private val membership: Membership,
    private val lenders: NeighbourLenders,
) {
    /** What all routers together hold does not depend on the number of those that have accounts. */
    fun budget(): BudgetPolicy {
        val holderCount = lenders.holderCount
        return budget.copy(
            minAccountFraction = HELD_SHARE / holderCount,
            grantFraction = maxOf(MIN_GRANT_FRACTION, 1.0 / holderCount),
        )
    }

    fun configFeed(): FeedPolicy = if (membership.isFullMesh) SMALL_FLEET_FEED else LARGE_FLEET_CONFIG

    fun endpointFeed(): FeedPolicy = if (membership.isFullMesh) SMALL_FLEET_FEED else LARGE_FLEET_ENDPOINTS

    fun moveFeed(): FeedPolicy = MOVES

    companion object {
        /** What routers hold of a budget of which they have seen no call yet, all together. */
        private const val HELD_SHARE = 0.3
        private const val MIN_GRANT_FRACTION = 0.05
        private val SMALL_FLEET_FEED = FeedPolicy()

        /** Heartbeats tell every two seconds whether peers have a newer configuration, so a watch that fell silent is noticed without its timeout. */
        private val LARGE_FLEET_CONFIG = FeedPolicy(watchWait = Duration.ofSeconds(6), pauseAfterChange = Duration.ofMillis(400))

        /** Many routers share the store's rate, and a change may take 3 s to be in force. */
        private val LARGE_FLEET_ENDPOINTS = FeedPolicy(watchWait = Duration.ofSeconds(3), pauseAfterChange = Duration.ofMillis(400))

        /** Orders come a few times a day, and verdicts go from router to router; a longer watch saves calls to the store. */
        private val MOVES = FeedPolicy(watchWait = Duration.ofSeconds(10), backoffMax = Duration.ofSeconds(4))

        /** Four missed heartbeats make a member silent; the list is read less often, as each read is priced. */
        val MEMBERSHIP =
            MembershipPolicy(
                heartbeatInterval = Duration.ofSeconds(1),
                heartbeatTimeout = Duration.ofSeconds(4),
                directoryInterval = Duration.ofSeconds(5),
            )

        /** Heartbeats of one or two seconds keep connections alive, so pings are sent only where these stop. */
        val PEERS =
            PeerPolicy(
                connectTimeout = Duration.ofMillis(700),
                handshakeTimeout = Duration.ofSeconds(1),
                writeTimeout = Duration.ofSeconds(2),
                pingInterval = Duration.ofMillis(2_500),
                idleTimeout = Duration.ofSeconds(4),
                backoffMax = Duration.ofSeconds(2),
            )
    }
}
