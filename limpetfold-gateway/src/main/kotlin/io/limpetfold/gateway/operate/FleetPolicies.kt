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
    private val contactTime: Duration,
    private val membership: Membership,
    private val lenderSelector: ZoneLenderSelector,
    private val isRouterCountKnown: () -> Boolean,
) {
    /** The budget policy for the current number of account holders. */
    fun budget(): BudgetPolicy {
        val scaled = budget.scaledTo(lenderSelector.holderCount)
        if (membership.isFullMesh) return scaled
        return scaled.copy(refillInterval = scaled.refillInterval.multipliedBy(LARGE_FLEET_REFILL_FACTOR))
    }

    /** The feeds of the configuration, of the endpoints and of the orders to move services. */
    fun changeFeed(): FeedPolicy =
        when {
            !isRouterCountKnown() -> feedPolicy(contactTime, STARTING_PAUSE)
            membership.isFullMesh -> feedPolicy(contactTime, Duration.ZERO)
            else -> largeFleetFeedPolicy(contactTime)
        }

    companion object {
        /**
         * Part of what all routers together may hold that they take before any of them has received a call, in equal
         * shares; the rest goes to those that receive the calls.
         */
        private const val INITIAL_HELD_SHARE = 0.5
        private const val MIN_GRANT_FRACTION = 0.05

        /** Two neighbours and the leaders of the zone, which are connected to all other leaders. */
        private const val LARGE_FLEET_CONNECTIONS = 6

        /** Factor for the interval of refills: lenders of all zones write to the same ledgers. */
        private const val LARGE_FLEET_REFILL_FACTOR = 3L

        /**
         * While a fleet starts, its endpoints register one after the other, and the routers that share the watches are
         * not known yet; with a pause, a watch returns several changes.
         */
        private val STARTING_PAUSE: Duration = Duration.ofMillis(800)
        private val LARGE_FLEET_PAUSE: Duration = Duration.ofMillis(250)

        /** Parts of the contact time; what they leave is for the repeated watch, a connection and its response. */
        private const val WAIT_SHARE = 0.6
        private const val MARGIN_SHARE = 0.25

        /**
         * A watch of a large fleet may ask a relay that stopped responding before it asks the store. The pause, this
         * wait and the margin of the relay, one after the other, leave time for a slow response of the store within two
         * thirds of the contact time, in which deployments ask for changes to be in force.
         */
        private const val LARGE_FLEET_WAIT_SHARE = 0.3

        /**
         * A feed that follows a change within [contactTime], even if its connection stopped responding when the last
         * watch began.
         */
        internal fun feedPolicy(
            contactTime: Duration,
            pauseAfterChange: Duration,
        ) = FeedPolicy(
            watchWait = maxOf(contactTime.share(WAIT_SHARE) - pauseAfterChange, MIN_WATCH_WAIT),
            responseMargin = contactTime.share(MARGIN_SHARE),
            pauseAfterChange = pauseAfterChange,
        )

        internal fun largeFleetFeedPolicy(contactTime: Duration): FeedPolicy =
            feedPolicy(contactTime, LARGE_FLEET_PAUSE).copy(watchWait = contactTime.share(LARGE_FLEET_WAIT_SHARE))

        private val MIN_WATCH_WAIT: Duration = Duration.ofMillis(200)

        private fun Duration.share(share: Double): Duration = Duration.ofMillis((toMillis() * share).toLong())

        /** Scales the fractions so that the total held by all routers does not depend on the number of account holders. */
        fun BudgetPolicy.scaledTo(holderCount: Int): BudgetPolicy =
            copy(
                minAccountFraction = maxHeldFraction * INITIAL_HELD_SHARE / holderCount,
                grantFraction = maxOf(MIN_GRANT_FRACTION, 1.0 / holderCount),
            )

        /**
         * A member is unreachable after four missed heartbeats; the instance list is read less often, because each read
         * has a price.
         */
        val MEMBERSHIP =
            MembershipPolicy(
                heartbeatInterval = Duration.ofSeconds(1),
                heartbeatTimeout = Duration.ofSeconds(4),
                directoryInterval = Duration.ofSeconds(5),
                maxConnections = LARGE_FLEET_CONNECTIONS,
            )

        /**
         * Heartbeats every one or two seconds keep connections alive, so pings are sent only when heartbeats stop. The
         * leaders of a group have a connection to every other router of it and to the leaders of all groups.
         */
        val PEERS =
            PeerPolicy(
                maxConnections = 128,
                maxHandshakes = 64,
                connectTimeout = Duration.ofMillis(700),
                handshakeTimeout = Duration.ofSeconds(1),
                writeTimeout = Duration.ofSeconds(2),
                pingInterval = Duration.ofMillis(2_500),
                idleTimeout = Duration.ofSeconds(4),
                backoffMax = Duration.ofSeconds(2),
            )
    }
}
