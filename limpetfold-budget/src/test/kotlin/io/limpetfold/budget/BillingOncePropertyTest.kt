package io.limpetfold.budget

import io.kotest.core.spec.style.FunSpec

/**
 * Guards against a request that is billed twice, or not at all, because of repeated settlements, lost reports or
 * reclaims.
 */
class BillingOncePropertyTest :
    FunSpec({
        for (seeds in seedParts()) {
            test("each run of a request is settled and reported once, seeds ${seeds.first} to ${seeds.last}") {
                forEachSeed(seeds) { schedule ->
                    schedule.runs.forEach { run ->
                        check(run.billCount <= 1) { "${run.reservation} was billed ${run.billCount} times" }
                        check(
                            run.billedTokens <= run.reservation.tokens,
                        ) { "${run.reservation} was billed ${run.billedTokens}" }
                    }
                    for (workspace in BudgetSchedule.WORKSPACES) {
                        val runs = schedule.runs.filter { it.reservation.workspace == workspace }
                        val versions = schedule.versions(workspace)
                        val reported = mutableMapOf<String, Long>()
                        versions.forEach { ledger ->
                            ledger.holders.forEach { (holder, entry) ->
                                check(
                                    entry.reportedSpentTokens >= (reported[holder] ?: 0),
                                ) { "$holder reported less than before" }
                                reported[holder] = entry.reportedSpentTokens
                            }
                        }
                        reported.forEach { (holder, tokens) ->
                            val used = runs.filter { it.holder.key == holder }.sumOf { it.usedTokens }
                            check(tokens <= used) { "$holder reported $tokens and used $used" }
                        }
                        val settled = versions.last().settledTokens
                        check(
                            settled == runs.sumOf { it.usedTokens },
                        ) { "$workspace settled $settled of ${runs.sumOf { it.usedTokens }}" }
                    }
                }
            }
        }
    })
