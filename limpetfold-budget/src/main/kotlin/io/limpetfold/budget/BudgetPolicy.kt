package io.limpetfold.budget

import java.time.Duration

/**
 * How a router sizes its grants and how often it calls the platform.
 *
 * @property horizon a grant lasts this long at the local demand rate.
 * @property grantFraction a grant takes at most this part of the free tokens, unless one reservation needs more.
 * @property transferFraction a peer gives at most this part of its unreserved tokens, unless the asked need is larger.
 * @property demandWindow the time over which the demand rate is averaged.
 * @property reportInterval spend is reported at most this often for each workspace.
 * @property retryDelay the shortest time between two attempts to refill one workspace after a failed one; doubles up to
 * [maxRetryDelay].
 * @property peerTimeout the longest wait for one peer.
 * @property idleAfter an account that was not used for this long returns what its demand does not need any more.
 * @property minAccountFraction an account holds at least this part of the free tokens, so that a router whose demand is not known yet does not start
 * an outage of the platform with nothing.
 * @property maxHeldFraction all accounts together hold at most this part of the tokens that are not spent yet, unless one reservation needs more.
 * What is held when all routers lose power is lost, so less is held of a budget that runs out.
 * @property refillBelow maintenance refills an account with less than this part of what [horizon] needs; 0 refills none.
 * @property refillInterval the shortest time between two refills, or returns, of one workspace by maintenance.
 * @property maxExcessRatio an account that holds more above its target than this multiple of it returns the rest, so that tokens taken while fewer
 * routers were known, or for a demand that has gone elsewhere, are not lost with this router.
 * @property waitsWhenInsufficient whether a caller waits within its maximum wait although the platform has said that the tokens are not there.
 * @property peersAsked the peers asked in one attempt. Within the caller's maximum wait more are asked as long as each gives.
 */
data class BudgetPolicy(
    val horizon: Duration,
    val grantFraction: Double,
    val transferFraction: Double = 0.5,
    val demandWindow: Duration = Duration.ofSeconds(10),
    val reportInterval: Duration = Duration.ofSeconds(10),
    val retryDelay: Duration = Duration.ofMillis(100),
    val maxRetryDelay: Duration = Duration.ofSeconds(2),
    val peerTimeout: Duration = Duration.ofMillis(100),
    val peersAsked: Int = 4,
    val idleAfter: Duration = Duration.ofMinutes(1),
    val waitsWhenInsufficient: Boolean = true,
    val minAccountFraction: Double = 0.0,
    val maxHeldFraction: Double = 1.0,
    val refillBelow: Double = 0.0,
    val refillInterval: Duration = Duration.ofSeconds(1),
    val maxExcessRatio: Double = Double.POSITIVE_INFINITY,
) {
    init {
        require(grantFraction > 0 && grantFraction <= 1) { "grantFraction $grantFraction is not in (0, 1]" }
        require(transferFraction > 0 && transferFraction <= 1) { "transferFraction $transferFraction is not in (0, 1]" }
        require(!horizon.isNegative && demandWindow > Duration.ZERO) { "horizon and demandWindow must not be negative" }
        require(retryDelay > Duration.ZERO && maxRetryDelay >= retryDelay) { "retryDelay must be positive and not above maxRetryDelay" }
        require(peersAsked >= 0) { "peersAsked must not be negative" }
        require(minAccountFraction in 0.0..1.0 && maxHeldFraction > 0 && maxHeldFraction <= 1) { "freeShare and heldPart are parts of a whole: choose 0 to 1" }
        require(refillBelow in 0.0..1.0 && maxExcessRatio > 0) { "refillBelow is a part of the target and returnAbove a positive multiple of it" }
    }

    /**
     * The tokens to ask the platform for, given the [account]'s needs, the [freeTokens] of the ledger and the [unspentTokens] of all
     * holders together; 0 when the free tokens do not cover [neededTokens].
     */
    fun grantSize(
        account: LocalAccount,
        neededTokens: Long,
        freeTokens: Long,
        unspentTokens: Long = Long.MAX_VALUE,
    ): Long {
        val shortTokens = maxOf(0, neededTokens - account.availableTokens)
        if (shortTokens > freeTokens) return 0
        val demandedTokens = maxOf(wantedTokens(account), (freeTokens * minAccountFraction).toLong())
        val heldTokens = minOf(demandedTokens, mostHeldTokens(account, freeTokens, unspentTokens))
        val wantedTokens = heldTokens - account.availableTokens
        val cappedTokens = minOf(wantedTokens, (freeTokens * grantFraction).toLong())
        return maxOf(shortTokens, cappedTokens)
    }

    /** The most tokens that [account] should hold beside the other holders, so that enough stays free. */
    fun mostHeldTokens(
        account: LocalAccount,
        freeTokens: Long,
        unspentTokens: Long,
    ): Long {
        if (maxHeldFraction >= 1) return Long.MAX_VALUE
        val keptTokens = (unspentTokens * (1 - maxHeldFraction)).toLong()
        return account.availableTokens + maxOf(0, freeTokens - keptTokens)
    }

    /** The unreserved tokens that last for the horizon at the account's demand rate. */
    fun wantedTokens(account: LocalAccount): Long = account.demand.tokensFor(horizon)

    /** Like the above, for a demand that has decayed until [nowMillis]. */
    fun wantedTokens(
        account: LocalAccount,
        nowMillis: Long,
    ): Long = DemandRate(account.demand.at(nowMillis, demandWindow.toMillis())).tokensFor(horizon)

    companion object {
        /**
         * Large grants that outlast long outages of the platform; more tokens are stranded when a router dies. In the sweep of
         * `bin/measure budgets` a horizon of 5 minutes has the fewest false refusals over all faults, and a longer one gains nothing.
         */
        val availability: BudgetPolicy = BudgetPolicy(horizon = Duration.ofMinutes(5), grantFraction = 0.25)

        /** Small grants; few tokens are stranded, and an outage of the platform is felt sooner. */
        val exposure: BudgetPolicy = BudgetPolicy(horizon = Duration.ofSeconds(15), grantFraction = 0.05)
    }
}
