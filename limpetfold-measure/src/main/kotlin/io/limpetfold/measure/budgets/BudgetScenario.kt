package io.limpetfold.measure.budgets

import java.time.Duration

/**
 * The faults of one run. Each fault begins after a quarter of the run.
 *
 * @property partition how long half of the routers can reach neither the other half nor the platform.
 * @property outage how long the platform is unreachable for all routers.
 * @property kills number of routers that are killed. All but the last restart after 30 s as a new
 *   incarnation, and the grants of the killed incarnation are reclaimed.
 */
internal data class BudgetScenario(
    val name: String,
    val partition: Duration = Duration.ZERO,
    val outage: Duration = Duration.ZERO,
    val kills: Int = 0,
) {
    companion object {
        val DEFAULTS =
            listOf(
                BudgetScenario("no faults"),
                BudgetScenario("partition 60 s", partition = Duration.ofSeconds(60)),
                BudgetScenario("partition 300 s", partition = Duration.ofSeconds(300)),
                BudgetScenario("outage 60 s", outage = Duration.ofSeconds(60)),
                BudgetScenario("outage 300 s", outage = Duration.ofSeconds(300)),
                BudgetScenario("2 deaths", kills = 2),
                BudgetScenario(
                    "partition 120 s, outage 120 s, 2 deaths",
                    partition = Duration.ofSeconds(120),
                    outage = Duration.ofSeconds(120),
                    kills = 2,
                ),
            )
    }
}
