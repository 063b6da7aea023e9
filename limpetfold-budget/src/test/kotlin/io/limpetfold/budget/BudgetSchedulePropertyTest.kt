package io.limpetfold.budget

import io.kotest.core.spec.style.FunSpec

/** Guards against overspend by faults that let a grant, a transfer or a remainder be spent twice. */
class BudgetSchedulePropertyTest :
    FunSpec({
        for (seeds in seedParts()) {
            test(
                "no schedule of faults lets a workspace spend more than it paid, seeds ${seeds.first} to ${seeds.last}",
            ) {
                var granted = 0
                var transferred = 0
                var reclaimed = 0
                var predecessors = 0
                var returned = 0
                var reopened = 0
                forEachSeed(seeds) { schedule ->
                    predecessors += schedule.predecessorsFound
                    for (workspace in BudgetSchedule.WORKSPACES) {
                        val versions = schedule.versions(workspace)
                        versions.forEach { ledger ->
                            val counted = ledger.settledTokens + ledger.holders.values.sumOf { it.grantedTokens }
                            check(
                                counted <= ledger.paidTokens,
                            ) { "$workspace counts $counted of ${ledger.paidTokens} paid in $ledger" }
                            val ended = ledger.holders.filterValues { it.isEnded }.keys
                            check(
                                ended.all { schedule.isKilled(it) },
                            ) { "$workspace has an uncovered close among $ended" }
                        }
                        granted += versions.count { ledger -> ledger.holders.values.any { it.acquiredTokens > 0 } }
                        transferred += versions.count { it.transfers.isNotEmpty() }
                        returned += versions.count { ledger -> ledger.holders.values.any { it.returnedTokens > 0 } }
                        reopened += versions.count { ledger -> ledger.holders.keys.any { schedule.isReopened(it) } }
                        reclaimed += versions.count { ledger -> ledger.holders.values.any { it.isEnded } }

                        val last = versions.last()
                        check(last.paidTokens == schedule.toppedUp(workspace)) { "$workspace paid ${last.paidTokens}" }
                        check(last.settledTokens == schedule.spent[workspace]) {
                            "$workspace settled ${last.settledTokens} and spent ${schedule.spent[workspace]}"
                        }
                        check(last.holders.isEmpty() && last.transfers.isEmpty()) { "$workspace keeps entries: $last" }
                    }
                }
                println(
                    "versions with grants=$granted transfers=$transferred reclaimed=$reclaimed predecessors=$predecessors returned=$returned reopened=$reopened",
                )
                check(minOf(transferred, reclaimed, predecessors, returned, reopened) > 0) {
                    "the schedules do not exercise every mechanism"
                }
            }
        }
    })

/**
 * The seeds in parts, because one test for all of them exceeds the test timeout on a busy machine.
 *
 * The system properties `limpetfold.firstSeed` and `limpetfold.seeds` select other seeds.
 */
internal fun seedParts(): List<IntRange> {
    val first = Integer.getInteger("limpetfold.firstSeed", 1)
    val end = first + Integer.getInteger("limpetfold.seeds", SEEDS)
    return (first until end step PART_SEEDS).map { it until minOf(it + PART_SEEDS, end) }
}

/** Runs the schedule of each seed and [check] on it; the first failure is thrown with its seed and log. */
internal fun forEachSeed(
    seeds: IntRange,
    hasRestores: Boolean = false,
    check: (BudgetSchedule) -> Unit,
) {
    for (seed in seeds) {
        val schedule = BudgetSchedule(seed, hasRestores = hasRestores)
        try {
            schedule.run()
            check(schedule)
        } catch (e: RuntimeException) {
            throw AssertionError("seed $seed: ${e.message}\n${schedule.log.joinToString("\n")}", e)
        }
    }
}

private const val SEEDS = 3_000
private const val PART_SEEDS = 1_000
