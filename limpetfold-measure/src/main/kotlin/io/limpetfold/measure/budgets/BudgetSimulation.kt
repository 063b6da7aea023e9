package io.limpetfold.measure.budgets

import java.time.Duration
import kotlin.random.Random

/**
 * One seeded run of a fleet that spends prepaid budgets.
 *
 * Two workspaces send 60% of the requests. Budgets are 70% to 130% of the expected spend, and every third workspace
 * gets the last third of its budget as a top-up in the middle of the run, so that some budgets are exhausted in each
 * run.
 */
internal class BudgetSimulation(
    private val settings: BudgetsSettings,
    private val scenario: BudgetScenario,
    private val seed: Long,
    createStrategy: (BudgetEnvironment, Long) -> BudgetStrategy,
) {
    private val random = Random(seed)
    private val environment = BudgetEnvironment(settings.routers, settings.workspaces)
    private val strategy = createStrategy(environment, seed)
    private val weights =
        DoubleArray(settings.workspaces) {
            if (it < LARGE_COUNT) {
                LARGE_SHARE / LARGE_COUNT
            } else {
                smallShare()
            }
        }
    private val budgets = LongArray(settings.workspaces)
    private val paid = LongArray(settings.workspaces)
    private val spent = LongArray(settings.workspaces)
    private val reserved = LongArray(settings.workspaces)
    private val spentBy = Array(settings.routers) { LongArray(settings.workspaces) }
    private val isKilled = BooleanArray(settings.routers)
    private val running = mutableListOf<RunningRequest>()
    private val retries = mutableListOf<SimulatedRequest>()
    private var nowMillis = 0L
    private val result = BudgetRunResult()

    fun run(): BudgetRunResult {
        val expected = settings.duration.toSeconds() * settings.requestsPerSecond * MEAN_USED_TOKENS
        for (workspace in 0 until settings.workspaces) {
            budgets[workspace] = (expected * weights[workspace] * random.nextDouble(MIN_BUDGET, MAX_BUDGET)).toLong()
            topUp(workspace, if (hasTopUp(workspace)) budgets[workspace] * 2 / 3 else budgets[workspace])
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
        settleFinished()
        val dueRetries = retries.filter { it.retryAtMillis <= nowMillis }
        retries -= dueRetries.toSet()
        dueRetries.forEach { submit(it) }
        repeat(arrivals()) { submit(newRequest()) }
        if (nowMillis % SECOND_MILLIS == 0L) {
            runningRouters().forEach { strategy.maintain(it) }
            result.peakStrandedTokens = maxOf(result.peakStrandedTokens, strandedTokens())
        }
        nowMillis += STEP_MILLIS
        environment.clock.advance(Duration.ofMillis(STEP_MILLIS))
    }

    private fun strandedTokens(): Long = if (scenario.kills == 0) 0 else strategy.strandedTokens()

    private fun applyFaults() {
        val faultMillis = nowMillis - settings.duration.toMillis() / 4
        environment.isPartitioned = faultMillis in 0 until scenario.partition.toMillis()
        environment.isPlatformDown = faultMillis in 0 until scenario.outage.toMillis()
        if (faultMillis == 0L) repeat(scenario.kills) { kill(it) }
        if (faultMillis >= RESTART_MILLIS && environment.reachesPlatform(0)) {
            for (router in 0 until scenario.kills - 1) {
                if (isKilled[router]) restart(router)
            }
        }
        if (nowMillis == settings.duration.toMillis() / 2) {
            for (workspace in 0 until settings.workspaces) {
                if (hasTopUp(workspace)) topUp(workspace, budgets[workspace] - paid[workspace])
            }
        }
    }

    private fun topUp(
        workspace: Int,
        tokens: Long,
    ) {
        paid[workspace] += tokens
        strategy.topUp(workspace, tokens)
    }

    /** Requests in flight at a killed router count as finished with their full usage, as in the journal copies. */
    private fun kill(router: Int) {
        running.filter { it.router == router }.forEach { finish(it) }
        running.removeAll { it.router == router }
        isKilled[router] = true
        strategy.kill(router, spentBy[router].toList())
    }

    private fun restart(router: Int) {
        isKilled[router] = false
        spentBy[router].fill(0)
        strategy.restart(router)
    }

    private fun settleFinished() {
        val due = running.filter { it.endMillis <= nowMillis }
        running -= due.toSet()
        due.forEach {
            finish(it)
            strategy.settle(it.router, it.handle, it.usedTokens)
        }
    }

    private fun finish(run: RunningRequest) {
        reserved[run.workspace] -= run.tokens
        spent[run.workspace] += run.usedTokens
        spentBy[run.router][run.workspace] += run.usedTokens
    }

    private fun newRequest(): SimulatedRequest {
        result.requests++
        val tokens = random.nextLong(MIN_TOKENS, MAX_TOKENS)
        return SimulatedRequest(pickWorkspace(), tokens, (tokens * random.nextDouble(MIN_USED, 1.0)).toLong())
    }

    /** A refused request is retried once, at any router, after the maximum `Retry-After`. */
    private fun submit(request: SimulatedRequest) {
        val router = runningRouters().random(random)
        val handle = strategy.reserve(router, request.workspace, request.tokens)
        if (handle != null) {
            reserved[request.workspace] += request.tokens
            running +=
                RunningRequest(
                    router,
                    request.workspace,
                    request.tokens,
                    request.usedTokens,
                    nowMillis + random.nextLong(MIN_RUN_MILLIS, MAX_RUN_MILLIS),
                    handle,
                )
        } else if (request.retryAtMillis == 0L) {
            retries += request.copy(retryAtMillis = nowMillis + RETRY_MILLIS)
        } else {
            result.refused++
            val unspent = paid[request.workspace] - spent[request.workspace] - reserved[request.workspace]
            if (unspent >= request.tokens) result.falselyRefused++
        }
    }

    private fun runningRouters() = isKilled.indices.filter { !isKilled[it] }

    private fun arrivals(): Int {
        val mean = settings.requestsPerSecond * STEP_MILLIS / SECOND_MILLIS
        return mean.toInt() + if (random.nextDouble() < mean - mean.toInt()) 1 else 0
    }

    private fun pickWorkspace(): Int {
        var remaining = random.nextDouble()
        for (workspace in weights.indices) {
            remaining -= weights[workspace]
            if (remaining < 0) return workspace
        }
        return weights.lastIndex
    }

    private fun smallShare() = (1 - LARGE_SHARE) / (settings.workspaces - LARGE_COUNT)

    private fun hasTopUp(workspace: Int) = workspace % TOP_UP_EVERY == 0

    private data class SimulatedRequest(
        val workspace: Int,
        val tokens: Long,
        val usedTokens: Long,
        val retryAtMillis: Long = 0,
    )

    private class RunningRequest(
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
