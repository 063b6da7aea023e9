package io.limpetfold.measure.budgets

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.limpetfold.budget.BudgetPolicy
import java.time.Duration

/**
 * Guards against figures that come from an error in the simulation: strategies that never see the faults, overspend
 * that is not counted, or requests that are refused although the budget is not exhausted.
 */
class BudgetSimulationTest :
    FunSpec({
        val settings = BudgetsSettings(duration = Duration.ofMinutes(4))
        val unlimited = { _: BudgetEnvironment, _: Long -> Unlimited }
        val perRequest = { environment: BudgetEnvironment, _: Long -> UpdatePerRequest(environment) }

        fun run(
            scenario: BudgetScenario,
            of: (BudgetEnvironment, Long) -> BudgetStrategy,
        ) = BudgetSimulation(settings, scenario, 1, of).run()

        test("a strategy that grants everything overspends, which shows that the simulation counts overspend") {
            run(BudgetScenario("none"), unlimited).overspentTokens shouldBeGreaterThan 0
        }

        test("without faults an update per request refuses only workspaces whose budget is exhausted") {
            val result = run(BudgetScenario("none"), perRequest)
            result.falselyRefused shouldBe 0
            result.refused shouldBeGreaterThan 0
            result.overspentTokens shouldBe 0
        }

        test("the same seed gives the same result, and an outage causes false refusals") {
            val outage = BudgetScenario("outage", outage = Duration.ofMinutes(1))
            val results = List(2) { run(outage, perRequest) }
            results[0].falselyRefused shouldBe results[1].falselyRefused
            results[0].falselyRefused shouldBeGreaterThan 0
        }

        test("an equal split writes nothing, strands a killed router's part and never overspends") {
            val result = run(BudgetScenario("kills", kills = 2)) { environment, _ -> EqualSplit(environment) }
            result.platformWrites shouldBe 0
            result.overspentTokens shouldBe 0
            result.peakStrandedTokens shouldBeGreaterThan 0
        }

        test(
            "the router's budget agents run through all faults without overspend and with fewer writes than requests",
        ) {
            for (scenario in BudgetScenario.DEFAULTS) {
                val result =
                    run(scenario) { environment, seed -> EscrowBudgets(environment, BudgetPolicy.exposure, seed) }
                result.overspentTokens shouldBe 0
                result.platformWrites / result.requests.toDouble() shouldBeLessThan 1.0
            }
        }
    }) {
    private object Unlimited : BudgetStrategy {
        override val platformWrites = 0
        override val grantWrites = 0

        override fun topUp(
            workspace: Int,
            tokens: Long,
        ) = Unit

        override fun reserve(
            router: Int,
            workspace: Int,
            tokens: Long,
        ): Any = Unit

        override fun settle(
            router: Int,
            handle: Any,
            usedTokens: Long,
        ) = Unit

        override fun maintain(router: Int) = Unit

        override fun kill(
            router: Int,
            spentTokens: List<Long>,
        ) = Unit

        override fun restart(router: Int) = Unit

        override fun strandedTokens() = 0L
    }
}
