package io.limpetfold.budget

import com.github.michaelbull.result.get
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FakePeerHub
import io.limpetfold.testing.TestClock
import java.time.Duration
import kotlin.random.Random

/** Load pattern: all routers lose power several times while a budget is in use, at random moments. */
class RepeatedLossTest :
    FunSpec({
        test("guards against a budget of which losses of all routers leave less than a quarter to be spent") {
            for (seed in 1..200) {
                withClue("seed $seed") {
                    val fleet = LossyFleet(Random(seed))
                    repeat(fleet.random.nextInt(40)) { fleet.second() }
                    val unspentAtFirstLoss = PAID - fleet.usedTokens
                    repeat(1 + fleet.random.nextInt(5)) {
                        fleet.losePower()
                        repeat(1 + fleet.random.nextInt(12)) { fleet.second() }
                    }
                    val usedBefore = PAID - unspentAtFirstLoss
                    repeat(400) { fleet.second() }
                    (fleet.usedTokens - usedBefore) / CALL_TOKENS shouldBeGreaterThanOrEqual
                        unspentAtFirstLoss / 4 / CALL_TOKENS
                    fleet.usedTokens shouldBeLessThanOrEqual PAID
                }
            }
        }
    })

private const val PAID = 1_000_000L
private const val CALL_TOKENS = 1_500L
private const val ROUTERS = 8
private val WORKSPACE = WorkspaceId("w")

private val POLICY =
    BudgetPolicy(
        horizon = Duration.ofSeconds(13),
        grantFraction = 1.0 / ROUTERS,
        demandWindow = Duration.ofSeconds(8),
        retryDelay = Duration.ofMillis(150),
        waitsWhenInsufficient = false,
        minAccountFraction = 0.3 / ROUTERS,
        maxHeldFraction = 0.6,
        refillBelow = 0.55,
        maxExcessRatio = 0.5,
    )

private class LossyFleet(
    val random: Random,
) {
    private val clock = TestClock()
    private val hub = FakePeerHub()
    private val store = FakeObjectStore()
    private var requests = 0
    private var starts = 0L
    private val callsPerSecond = 5 + random.nextInt(30)
    private var agents = start()

    /** The tokens that calls have used so far. */
    var usedTokens = 0L
        private set

    /** Calls through random routers and one round of maintenance of each router. */
    suspend fun second() {
        repeat(callsPerSecond) { call(agents.random(random)) }
        clock.advance(Duration.ofSeconds(1))
        agents.forEach { it.maintain() }
    }

    /** Ends all processes without a report, and starts the next ones. */
    suspend fun losePower() {
        agents = start()
        agents.forEach { it.openAccount(WORKSPACE) }
    }

    private suspend fun call(agent: BudgetAgent) {
        val id = RequestId("r-${requests++}")
        agent.reserve(WORKSPACE, id, CALL_TOKENS, Duration.ZERO).get()?.let {
            usedTokens += agent.settle(it, CALL_TOKENS).chargedTokens
        }
    }

    private fun start(): List<BudgetAgent> {
        starts++
        return List(ROUTERS) { index ->
            val self = Incarnation(InstanceId("router-$index"), starts * 1_000)
            BudgetAgent(
                self,
                store,
                hub.join(self),
                { POLICY },
                clock.monotonic,
                Random(random.nextInt()),
                predecessorSpendLookup = { _, _ -> PredecessorSpendLookup.WHOLE_GRANT },
                paidTotalOf = { PaidTotal(PAID, 1) },
            )
        }
    }
}
