package io.limpetfold.measure.budgets

import java.time.Duration
import kotlin.random.Random

/**
 * One seeded run of a fleet that spends prepaid budgets.
 *
 * Two workspaces send 60 in 100 requests. Budgets are 70 to 130 in 100 of the expected spend, and every third workspace gets the last
 * third of its budget as a top-up in the middle of the run, so that some workspaces run out in each run.
 */
internal class BudgetSimulation(
    private val settings: BudgetsSettings,
    private val scenario: BudgetScenario,
    private val seed: Long,
    strategyOf: (BudgetWorld, Long) -> BudgetStrategy,
) {
    private val random = Random(seed)
    private val world = BudgetWorld(settings.routers, settings.workspaces)
    private val strategy = strategyOf(world, seed)
    private val weights = DoubleArray(settings.workspaces) { if (it < LARGE_COUNT) LARGE_SHARE / LARGE_COUNT else smallShare() }
    private val budgets = LongArray(settings.workspaces)
    private val paid = LongArray(settings.workspaces)
    private val spent = LongArray(settings.workspaces)
    private val reserved = LongArray(settings.workspaces)
    private val spentBy = Array(settings.routers) { LongArray(settings.workspaces) }
    private val isDead = BooleanArray(settings.routers)
    private val runs = mutableListOf<Run>()
    private val retries = mutableListOf<Ask>()
    private var nowMillis = 0L
    private val result = BudgetRunResult()

    fun run(): BudgetRunResult {
        val expected = settings.duration.toSeconds() * settings.requestsPerSecond * MEAN_USED_TOKENS
        for (workspace in 0 until settings.workspaces) {
            budgets[workspace] = (expected * weights[workspace] * random.nextDouble(MIN_BUDGET, MAX_BUDGET)).toLong()
            pay(workspace, if (hasTopUp(workspace)) budgets[workspace] * 2 / 3 else budgets[workspace])
        }
        while (nowMillis < settings.duration.toMillis()) step()
        result.paidTokens = paid.sum()
        result.platformWrites = strategy.platformWrites
        result.grantWrites = strategy.grantWrites
        result.overspentTokens = (0 until settings.workspaces).sumOf { maxOf(0, spent[it] - paid[it]) }
        return result
    }

    private fun step() {
        applyFaults()
        settleDue()
        val dueRetries = retries.filter { it.retryAtMillis <= nowMillis }
        retries -= dueRetries.toSet()
        dueRetries.forEach { ask(it) }
        repeat(arrivals()) { ask(newAsk()) }
        if (nowMillis % SECOND_MILLIS == 0L) {
            live().forEach { strategy.maintain(it) }
            result.peakStrandedTokens = maxOf(result.peakStrandedTokens, strandedTokens())
        }
        nowMillis += STEP_MILLIS
        world.clock.advance(Duration.ofMillis(STEP_MILLIS))
    }

    private fun strandedTokens(): Long = if (scenario.deaths == 0) 0 else strategy.strandedTokens()

    private fun applyFaults() {
        val faultMillis = nowMillis - settings.duration.toMillis() / 4
        world.isPartitioned = faultMillis in 0 until scenario.partition.toMillis()
        world.isPlatformDown = faultMillis in 0 until scenario.outage.toMillis()
        if (faultMillis == 0L) repeat(scenario.deaths) { kill(it) }
        if (faultMillis >= RESTART_MILLIS && world.reachesPlatform(0)) {
            for (router in 0 until scenario.deaths - 1) {
                if (isDead[router]) restart(router)
            }
        }
        if (nowMillis == settings.duration.toMillis() / 2) {
            for (workspace in 0 until settings.workspaces) {
                if (hasTopUp(workspace)) pay(workspace, budgets[workspace] - paid[workspace])
            }
        }
    }

    private fun pay(
        workspace: Int,
        tokens: Long,
    ) {
        paid[workspace] += tokens
        strategy.topUp(workspace, tokens)
    }

    /** Running requests of a killed router have used all that they would have used, which the journal copies show. */
    private fun kill(router: Int) {
        runs.filter { it.router == router }.forEach { finish(it) }
        runs.removeAll { it.router == router }
        isDead[router] = true
        strategy.kill(router, spentBy[router].toList())
    }

    private fun restart(router: Int) {
        isDead[router] = false
        spentBy[router].fill(0)
        strategy.restart(router)
    }

    private fun settleDue() {
        val due = runs.filter { it.endMillis <= nowMillis }
        runs -= due.toSet()
        due.forEach {
            finish(it)
            strategy.settle(it.router, it.handle, it.usedTokens)
        }
    }

    private fun finish(run: Run) {
        reserved[run.workspace] -= run.tokens
        spent[run.workspace] += run.usedTokens
        spentBy[run.router][run.workspace] += run.usedTokens
    }

    private fun newAsk(): Ask {
        result.requests++
        val tokens = random.nextLong(MIN_TOKENS, MAX_TOKENS)
        return Ask(pickWorkspace(), tokens, (tokens * random.nextDouble(MIN_USED, 1.0)).toLong())
    }

    /** A refused caller tries once more, through any router, after the longest `Retry-After`. */
    private fun ask(ask: Ask) {
        val router = live().random(random)
        val handle = strategy.reserve(router, ask.workspace, ask.tokens)
        if (handle != null) {
            reserved[ask.workspace] += ask.tokens
            runs += Run(router, ask.workspace, ask.tokens, ask.usedTokens, nowMillis + random.nextLong(MIN_RUN_MILLIS, MAX_RUN_MILLIS), handle)
        } else if (ask.retryAtMillis == 0L) {
            retries += ask.copy(retryAtMillis = nowMillis + RETRY_MILLIS)
        } else {
            result.refused++
            val unspent = paid[ask.workspace] - spent[ask.workspace] - reserved[ask.workspace]
            if (unspent >= ask.tokens) result.falselyRefused++
        }
    }

    private fun live() = isDead.indices.filter { !isDead[it] }

    private fun arrivals(): Int {
        val mean = settings.requestsPerSecond * STEP_MILLIS / SECOND_MILLIS
        return mean.toInt() + if (random.nextDouble() < mean - mean.toInt()) 1 else 0
    }

    private fun pickWorkspace(): Int {
        var left = random.nextDouble()
        for (workspace in weights.indices) {
            left -= weights[workspace]
            if (left < 0) return workspace
        }
        return weights.lastIndex
    }

    private fun smallShare() = (1 - LARGE_SHARE) / (settings.workspaces - LARGE_COUNT)

    private fun hasTopUp(workspace: Int) = workspace % TOP_UP_EVERY == 0

    private data class Ask(
        val workspace: Int,
        val tokens: Long,
        val usedTokens: Long,
        val retryAtMillis: Long = 0,
    )

    private class Run(
        val router: Int,
        val workspace: Int,
        val tokens: Long,
        val usedTokens: Long,
        val endMillis: Long,
        val handle: Any,
    )

    private companion object {
        const val LARGE_COUNT = 2
        const val LARGE_SHARE = 0.6
        const val STEP_MILLIS = 100L
        const val SECOND_MILLIS = 1_000L
        const val RETRY_MILLIS = 2_000L
        const val RESTART_MILLIS = 30_000L
        const val MIN_TOKENS = 200L
        const val MAX_TOKENS = 1_400L
        const val MIN_USED = 0.3
        const val MEAN_USED_TOKENS = 520.0
        const val MIN_RUN_MILLIS = 1_000L
        const val MAX_RUN_MILLIS = 9_000L
        const val MIN_BUDGET = 0.7
        const val MAX_BUDGET = 1.3
        const val TOP_UP_EVERY = 3
    }
}
