package io.limpetfold.measure.budgets

import io.limpetfold.budget.BudgetPolicy
import io.limpetfold.measure.report.MeasurementReport
import kotlinx.serialization.json.JsonPrimitive
import java.util.stream.IntStream

/**
 * Measures overspend, false refusals, stranded tokens and platform writes of budget policies.
 *
 * Runs the decision logic over fakes and a test clock.
 */
class BudgetsMeasurement {
    fun run(settings: BudgetsSettings): MeasurementReport {
        val rows =
            strategies(settings).flatMap { strategy ->
                BudgetScenario.DEFAULTS.map { row(settings, strategy, it) }
            }
        return MeasurementReport(
            "budgets",
            mapOf(
                "seeds" to "0..${settings.seeds - 1}",
                "routers" to "${settings.routers}",
                "workspaces" to "${settings.workspaces}",
                "requestsPerSecond" to "${settings.requestsPerSecond}",
                "duration" to "${settings.duration.toSeconds()} s",
            ),
            "equal split (each router has a fixed part), update per request (two platform writes for each request)",
            rows,
        )
    }

    private fun strategies(settings: BudgetsSettings): List<Strategy> {
        val named =
            listOf(
                Strategy(
                    "availability",
                ) { environment, seed -> EscrowBudgets(environment, BudgetPolicy.availability, seed) },
                Strategy("exposure") { environment, seed -> EscrowBudgets(environment, BudgetPolicy.exposure, seed) },
                Strategy("equal split") { environment, _ -> EqualSplit(environment) },
                Strategy("update per request") { environment, _ -> UpdatePerRequest(environment) },
            )
        if (!settings.hasSweep) return named
        val sweep =
            settings.horizons.flatMap { horizon ->
                settings.fractions.map { fraction ->
                    Strategy("horizon ${horizon.toSeconds()} s, fraction $fraction") { environment, seed ->
                        EscrowBudgets(environment, BudgetPolicy(horizon, fraction), seed)
                    }
                }
            }
        return named + sweep
    }

    private fun row(
        settings: BudgetsSettings,
        strategy: Strategy,
        scenario: BudgetScenario,
    ): Map<String, JsonPrimitive> {
        val results =
            IntStream
                .range(0, settings.seeds)
                .parallel()
                .mapToObj { BudgetSimulation(settings, scenario, it.toLong(), strategy.create).run() }
                .toList()
        val requests = results.sumOf { it.requests }.toDouble()
        return MeasurementReport.row(
            "policy" to strategy.name,
            "faults" to scenario.name,
            "requests" to results.sumOf { it.requests },
            "overspent tokens" to results.sumOf { it.overspentTokens },
            "refused, in 1,000" to PER_THOUSAND * results.sumOf { it.refused } / requests,
            "falsely refused, in 1,000" to PER_THOUSAND * results.sumOf { it.falselyRefused } / requests,
            "stranded at peak, in 1,000 paid" to
                PER_THOUSAND * results.sumOf { it.peakStrandedTokens } / results.sumOf { it.paidTokens },
            "platform writes per request" to results.sumOf { it.platformWrites } / requests,
            "grants per request" to results.sumOf { it.grantWrites } / requests,
        )
    }

    private class Strategy(
        val name: String,
        val create: (BudgetEnvironment, Long) -> BudgetStrategy,
    )

    private companion object {
        const val PER_THOUSAND = 1_000.0
    }
}
