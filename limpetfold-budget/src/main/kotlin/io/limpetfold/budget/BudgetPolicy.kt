package io.limpetfold.budget

import java.time.Duration

/**
 * How a router sizes its grants and how often it calls the platform.
 *
 * @property horizon the time that a grant is to last at the local demand rate.
 * @property grantFraction the largest fraction of the free tokens that one grant takes, unless one reservation needs
 * more.
 * @property transferFraction the largest fraction of its unreserved tokens that a router sends to a peer, unless the
 * peer needs more.
 * @property demandWindow the time over which the demand rate is averaged.
 * @property reportInterval the minimum time between two spend reports for one workspace.
 * @property retryDelay the backoff after a failed attempt to refill the account of a workspace; it doubles with each
 * failure up to [maxRetryDelay].
 * @property peerTimeout the timeout of a request to one peer.
 * @property idleAfter the time without use after which an account returns the tokens that its demand no longer needs.
 * @property minAccountFraction the smallest fraction of the free tokens that an account holds, so that a router whose
 * demand is not known yet has tokens when an outage of the platform begins.
 * @property maxHeldFraction the largest fraction of the unspent tokens that all accounts together hold, unless one
 * reservation needs more. Held tokens are lost when all routers lose power, so the accounts hold less as the budget
 * runs out.
 * @property refillBelow the fraction of its target below which maintenance refills an account; 0 disables these
 * refills.
 * @property refillInterval the minimum time between two refills, or returns, of one account by maintenance.
 * @property maxExcessRatio an account returns its tokens above the target when they exceed this multiple of the target.
 * This limits the loss when a router ends that took its tokens while fewer routers were known, or whose demand has
 * moved to others.
 * @property waitsWhenInsufficient whether a caller waits, up to its maximum wait, when the ledger has too few free
 * tokens.
 * @property recoveryWait the minimum time between the first sight of a restored ledger and the end of its recovery. A
 * ledger does not list the holders whose first write the restore lost, so all routers get the time to confirm.
 * @property peersPerAttempt the number of peers asked in one attempt. A caller with a maximum wait above zero continues
 * with further peers as long as each of them sends tokens.
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
    val peersPerAttempt: Int = 4,
    val idleAfter: Duration = Duration.ofMinutes(1),
    val waitsWhenInsufficient: Boolean = true,
    val minAccountFraction: Double = 0.0,
    val maxHeldFraction: Double = 1.0,
    val refillBelow: Double = 0.0,
    val refillInterval: Duration = Duration.ofSeconds(1),
    val maxExcessRatio: Double = Double.POSITIVE_INFINITY,
    val recoveryWait: Duration = Duration.ofSeconds(3),
) {
    init {
        require(grantFraction > 0 && grantFraction <= 1) { "grantFraction $grantFraction is not in (0, 1]" }
        require(transferFraction > 0 && transferFraction <= 1) { "transferFraction $transferFraction is not in (0, 1]" }
        require(!horizon.isNegative && demandWindow > Duration.ZERO) {
            "horizon must not be negative and demandWindow must be positive"
        }
        require(retryDelay > Duration.ZERO && maxRetryDelay >= retryDelay) {
            "retryDelay must be positive and not above maxRetryDelay"
        }
        require(peersPerAttempt >= 0) { "peersPerAttempt must not be negative" }
        require(minAccountFraction in 0.0..1.0 && maxHeldFraction > 0 && maxHeldFraction <= 1) {
            "minAccountFraction must be in [0, 1] and maxHeldFraction in (0, 1]"
        }
        require(refillBelow in 0.0..1.0 && maxExcessRatio > 0) {
            "refillBelow must be in [0, 1] and maxExcessRatio must be positive"
        }
    }

    /**
     * The tokens to request for [account] from a ledger with [balance]; 0 when the free tokens do not cover
     * [neededTokens].
     */
    fun grantSize(
        account: LocalAccount,
        neededTokens: Long,
        balance: LedgerBalance,
    ): Long {
        val freeTokens = balance.freeTokens
        val shortTokens = maxOf(0, neededTokens - account.availableTokens)
        if (shortTokens > freeTokens) return 0
        val demandedTokens = maxOf(horizonTokens(account), (freeTokens * minAccountFraction).toLong())
        val heldTokens = minOf(demandedTokens, maxHeldTokens(account, balance))
        val wantedTokens = heldTokens - account.availableTokens
        val cappedTokens = minOf(wantedTokens, (freeTokens * grantFraction).toLong())
        return maxOf(shortTokens, cappedTokens)
    }

    /**
     * The maximum number of tokens that [account] should hold, so that [maxHeldFraction] is kept.
     *
     * The accounts share the fraction in proportion to their demand. Without shares, the accounts that refill first
     * would leave nothing to the others, which would then need a grant for each request.
     */
    fun maxHeldTokens(
        account: LocalAccount,
        balance: LedgerBalance,
    ): Long {
        if (maxHeldFraction >= 1) return Long.MAX_VALUE
        val keptTokens = (balance.unspentTokens * (1 - maxHeldFraction)).toLong()
        val ungrantedTokens = maxOf(0, balance.freeTokens - keptTokens)
        val minTokens = (balance.freeTokens * minAccountFraction).toLong()
        return minOf(account.availableTokens + ungrantedTokens, maxOf(minTokens, shareTokens(account, balance)))
    }

    private fun shareTokens(
        account: LocalAccount,
        balance: LedgerBalance,
    ): Long {
        val ownDemand = account.demand.tokensPerSecond
        if (ownDemand <= 0) return 0
        val share = ownDemand / (ownDemand + balance.otherDemandTokensPerSecond)
        return (balance.unspentTokens * maxHeldFraction * share).toLong()
    }

    /** The unreserved tokens that [account] needs for the [horizon] at its last recorded demand rate. */
    fun horizonTokens(account: LocalAccount): Long = account.demand.tokensFor(horizon)

    /** The unreserved tokens that [account] needs for the [horizon] at its demand rate decayed to [nowMillis]. */
    fun horizonTokens(
        account: LocalAccount,
        nowMillis: Long,
    ): Long = DemandRate(account.demand.at(nowMillis, demandWindow.toMillis())).tokensFor(horizon)

    companion object {
        /**
         * Large grants that outlast long outages of the platform; more tokens are stranded when a router process ends.
         * Of the horizons compared by `bin/measure budgets`, 5 minutes has the fewest false refusals over all faults,
         * and longer ones have no fewer.
         */
        val availability: BudgetPolicy = BudgetPolicy(horizon = Duration.ofMinutes(5), grantFraction = 0.25)

        /** Small grants: few tokens are stranded, but an outage of the platform leads to refusals sooner. */
        val exposure: BudgetPolicy = BudgetPolicy(horizon = Duration.ofSeconds(15), grantFraction = 0.05)
    }
}
