package io.limpetfold.gateway.operate

import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.gateway.state.FeedPolicy
import io.limpetfold.membership.Membership
import io.limpetfold.membership.MembershipPolicy
import io.limpetfold.peer.ktor.PeerPolicy
import java.time.Duration

/** Budget, feed, membership and peer policies; the budget and feed policies depend on the current size of the fleet. */
internal class FleetPolicies(
    private val budget: BudgetPolicy,
    private val membership: Membership,
    private val lenderSelector: RendezvousLenderSelector,
) {
    /**
     * Scales the fractions of the budget policy so that the total held by all routers does not depend on the number of
     * account holders.
     */
    fun budget(): BudgetPolicy {
        val holderCount = lenderSelector.holderCount
        return budget.copy(
            minAccountFraction = INITIAL_HELD_FRACTION / holderCount,
            grantFraction = maxOf(MIN_GRANT_FRACTION, 1.0 / holderCount),
        )
    }

    fun configFeed(): FeedPolicy = if (membership.isFullMesh) SMALL_FLEET_FEED else LARGE_FLEET_CONFIG_FEED

    fun endpointFeed(): FeedPolicy = if (membership.isFullMesh) SMALL_FLEET_FEED else LARGE_FLEET_ENDPOINT_FEED

    fun moveFeed(): FeedPolicy = MOVE_FEED

    companion object {
        /** Fraction of a budget that all routers together hold before any of them has received a call for it. */
        private const val INITIAL_HELD_FRACTION = 0.3
        private const val MIN_GRANT_FRACTION = 0.05
        private val SMALL_FLEET_FEED = FeedPolicy()

        /**
         * Heartbeats report every two seconds whether a peer has a newer configuration, so a change that a stalled
         * watch misses is noticed before the watch times out.
         */
        private val LARGE_FLEET_CONFIG_FEED =
            FeedPolicy(watchWait = Duration.ofSeconds(6), pauseAfterChange = Duration.ofMillis(400))

        /** Many routers share the store's rate limit, and a change may take up to 3 s to become active. */
        private val LARGE_FLEET_ENDPOINT_FEED =
            FeedPolicy(watchWait = Duration.ofSeconds(3), pauseAfterChange = Duration.ofMillis(400))

        /**
         * Orders arrive a few times a day and routers exchange verdicts directly, so a longer watch saves calls to the
         * store.
         */
        private val MOVE_FEED = FeedPolicy(watchWait = Duration.ofSeconds(10), backoffMax = Duration.ofSeconds(4))

        /**
         * A member is unreachable after four missed heartbeats; the instance list is read less often, because each read
         * has a price.
         */
        val MEMBERSHIP =
            MembershipPolicy(
                heartbeatInterval = Duration.ofSeconds(1),
                heartbeatTimeout = Duration.ofSeconds(4),
                directoryInterval = Duration.ofSeconds(5),
            )

        /** Heartbeats every one or two seconds keep connections alive, so pings are sent only when heartbeats stop. */
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
