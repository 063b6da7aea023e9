package io.limpetfold.measure.budgets

import java.time.Duration

/**
 * The faults of one run; each begins after a quarter of the run.
 *
 * @property partition how long half of the routers are cut off from the other half and from the platform.
 * @property outage how long no router reaches the platform.
 * @property deaths routers that are killed. All but the last are replaced after 30 s by a new incarnation that reclaims.
 */
internal data class BudgetScenario(
    val name: String,
    val partition: Duration = Duration.ZERO,
    val outage: Duration = Duration.ZERO,
    val deaths: Int = 0,
) {
    companion object {
        val DEFAULTS =
            listOf(
                BudgetScenario("no faults"),
                BudgetScenario("partition 60 s", partition = Duration.ofSeconds(60)),
                BudgetScenario("partition 300 s", partition = Duration.ofSeconds(300)),
                BudgetScenario("outage 60 s", outage = Duration.ofSeconds(60)),
                BudgetScenario("outage 300 s", outage = Duration.ofSeconds(300)),
                BudgetScenario("2 deaths", deaths = 2),
                BudgetScenario(
                    "partition 120 s, outage 120 s, 2 deaths",
                    partition = Duration.ofSeconds(120),
                    outage = Duration.ofSeconds(120),
                    deaths = 2,
                ),
            )
    }
}
