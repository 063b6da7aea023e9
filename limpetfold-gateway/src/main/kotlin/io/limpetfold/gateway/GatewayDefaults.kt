package io.limpetfold.gateway

import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.http.ConnectionLimits
import java.time.Duration

/** Default policies, for a small fleet whose store may be unavailable for up to ten seconds at a time. */
object GatewayDefaults {
    /**
     * The limits of callers' connections until a configuration states others. The idle timeout is long, because callers
     * that know the configuration may reuse a connection before the router has read it.
     */
    val CALLER_LIMITS: ConnectionLimits =
        ConnectionLimits(
            maxHeaderBytes = 16 * 1024,
            maxBodyBytes = 4L * 1024 * 1024,
            headerTimeout = Duration.ofSeconds(10),
            idleTimeout = Duration.ofSeconds(30),
            idleMargin = Duration.ofSeconds(1),
            announcesIdleTimeout = true,
        )

    /**
     * Grants outlast an outage of the store, but all routers hold at most a fifth of what is unspent, because what they
     * hold is lost when all of them lose power. Each grant takes only a small fraction of the free tokens, so
     * that every router can still use the last tokens of a budget.
     */
    val BUDGET: BudgetPolicy =
        BudgetPolicy(
            horizon = Duration.ofSeconds(13),
            grantFraction = 0.15,
            transferFraction = 0.5,
            demandWindow = Duration.ofSeconds(8),
            reportInterval = Duration.ofSeconds(20),
            retryDelay = Duration.ofMillis(150),
            maxRetryDelay = Duration.ofMillis(1_000),
            peerTimeout = Duration.ofMillis(80),
            idleAfter = Duration.ofSeconds(30),
            waitsWhenInsufficient = false,
            maxHeldFraction = 0.2,
            refillBelow = 0.55,
            refillInterval = Duration.ofSeconds(1),
            maxExcessRatio = 0.5,
        )
}
