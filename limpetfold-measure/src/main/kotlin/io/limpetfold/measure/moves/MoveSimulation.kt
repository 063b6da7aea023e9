package io.limpetfold.measure.moves

import io.limpetfold.rollout.VersionObservation
import io.limpetfold.testing.TestClock
import java.time.Duration
import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/**
 * One seeded run of moves on all routes.
 *
 * Requests arrive at random routers, the new version behaves as [kind] defines, and a strategy moves the traffic.
 */
internal class MoveSimulation(
    private val workload: MoveWorkload,
    private val kind: VersionKind,
    private val settings: MovesSettings,
    seed: Long,
) {
    private val random = Random(seed)
    private val gaussian = random.asJavaRandom()
    private val clock = TestClock()
    private val startMillis = clock.millis()
    private val durationMillis = settings.duration.toMillis()
    private val failureShare = if (kind == VersionKind.BAD_AT_ONCE) random.nextDouble(0.15, 1.0) else 0.4
    private val badFromMillis =
        if (kind == VersionKind.BAD_LATE) {
            random.nextLong(durationMillis / 10, durationMillis * 2 / 3)
        } else {
            0
        }
    private val slowness = if (kind == VersionKind.SLOW) random.nextDouble(1.6, 3.0) else 1.0
    private val burstOffsetMillis = random.nextLong(BURST_PERIOD_MILLIS)
    private val pendingResponses = PriorityQueue<PendingResponse>(compareBy { it.atMillis })
    private val latestNew = List(ROUTES) { ArrayDeque<Boolean>() }
    private val results = List(ROUTES) { RouteResult(isBadRoute(it)) }
    private var requestCount = 0

    private val elapsedMillis get() = clock.millis() - startMillis

    fun run(createStrategy: (TestClock, Random) -> MoveStrategy): List<RouteResult> {
        val strategy = createStrategy(clock, Random(random.nextLong()))
        if (strategy is ControlledMoves) strategy.warmUp { observe(isBadNow = false) }
        var nextArrival = arrivalGap()
        while (elapsedMillis < durationMillis && !isFinished(strategy)) {
            val until = elapsedMillis + ROUND_MILLIS
            while (true) {
                val next = minOf(nextArrival, pendingResponses.peek()?.atMillis ?: Long.MAX_VALUE)
                if (next > until) break
                advanceTo(next)
                if (next == nextArrival) {
                    sendRequest(strategy)
                    nextArrival += arrivalGap()
                } else {
                    recordOutcome(strategy, pendingResponses.remove())
                }
            }
            advanceTo(until)
            strategy.maintain()
        }
        results.forEachIndexed { route, result -> result.hasCompleted = strategy.hasCompleted(route) == true }
        return results
    }

    /** Requests to a bad version count until the deadline if its move completed; any other outcome ends the route. */
    private fun isFinished(strategy: MoveStrategy): Boolean =
        results.indices.all { route -> strategy.hasCompleted(route)?.let { !it || !results[route].isBad } ?: false }

    private fun arrivalGap(): Long =
        maxOf(1, (-ln(1 - random.nextDouble()) / workload.requestsPerSecond * 1000).toLong())

    private fun advanceTo(millis: Long) = clock.advance(Duration.ofMillis(millis - elapsedMillis))

    private fun isBadRoute(route: Int): Boolean =
        when (kind) {
            VersionKind.GOOD, VersionKind.GOOD_UNDER_NOISE -> false
            VersionKind.BAD_ON_ONE_ROUTE -> route == BAD_ROUTE
            else -> true
        }

    private fun sendRequest(strategy: MoveStrategy) {
        val route = if (random.nextDouble() < FIRST_ROUTE_SHARE) 0 else 1
        val choice = strategy.choose(random.nextInt(settings.routers), route, requestCount++)
        latestNew[route] += choice.isNew
        if (latestNew[route].size > LOAD_WINDOW) latestNew[route].removeFirst()
        val isBadNow = choice.isNew && results[route].isBad && isBadNow(route)
        if (isBadNow) results[route].countBadRequest()
        val observation = observe(isBadNow)
        val tokenMillis = observation.betweenTokens?.toMillis() ?: 0
        val responseMillis =
            (observation.firstToken?.toMillis() ?: 50) + tokenMillis * random.nextInt(1, workload.tokens * 2)
        pendingResponses += PendingResponse(elapsedMillis + responseMillis, choice, observation, isBadNow)
    }

    private fun isBadNow(route: Int): Boolean =
        when (kind) {
            VersionKind.BAD_LATE -> elapsedMillis >= badFromMillis
            VersionKind.BAD_UNDER_LOAD ->
                latestNew[route].size >= 10 &&
                    latestNew[route].count { it } > latestNew[route].size * LOAD_THRESHOLD
            else -> true
        }

    private fun observe(isBadNow: Boolean): VersionObservation {
        val isBurst =
            kind == VersionKind.GOOD_UNDER_NOISE &&
                (elapsedMillis + burstOffsetMillis) % BURST_PERIOD_MILLIS < BURST_MILLIS
        val normalFailureShare =
            if (kind == VersionKind.GOOD_UNDER_NOISE) {
                NOISE_FAILURE_SHARE
            } else {
                workload.failureShare
            }
        val share =
            when {
                isBurst -> BURST_FAILURE_SHARE
                isBadNow && kind != VersionKind.SLOW -> failureShare
                else -> normalFailureShare
            }
        if (random.nextDouble() < share) return VersionObservation(isSuccess = false)
        val factor = (if (isBadNow) slowness else 1.0) * (if (isBurst) 2.0 else 1.0)
        return VersionObservation(
            isSuccess = true,
            firstToken = duration(workload.firstTokenMillis * factor, FIRST_TOKEN_SPREAD),
            betweenTokens = duration(workload.betweenTokensMillis * factor, BETWEEN_TOKENS_SPREAD),
        )
    }

    private fun duration(
        medianMillis: Double,
        spread: Double,
    ): Duration = Duration.ofNanos((medianMillis * exp(gaussian.nextGaussian() * spread) * 1_000_000).toLong())

    private fun recordOutcome(
        strategy: MoveStrategy,
        response: PendingResponse,
    ) {
        strategy.record(response.choice, response.observation)
        if (response.isBad) results[response.choice.route].countBadOutcome(!response.observation.isSuccess, kind)
    }

    private class PendingResponse(
        val atMillis: Long,
        val choice: MoveStrategy.Choice,
        val observation: VersionObservation,
        val isBad: Boolean,
    )

    /** The result of the move on one route. */
    class RouteResult(
        val isBad: Boolean,
    ) {
        var hasCompleted = false
        var badRequests = 0
            private set
        var requestsAfterShown = 0
            private set
        private var badOutcomes = 0
        private var isDetectable = false

        fun countBadRequest() {
            badRequests++
            if (isDetectable) requestsAfterShown++
        }

        fun countBadOutcome(
            isFailure: Boolean,
            kind: VersionKind,
        ) {
            if (isFailure || kind == VersionKind.SLOW) badOutcomes++
            isDetectable = badOutcomes >= if (kind == VersionKind.SLOW) SLOW_RESPONSES_TO_DETECT else FAILURES_TO_DETECT
        }
    }

    companion object {
        const val ROUTES = 2
        private const val BAD_ROUTE = 1
        private const val FIRST_ROUTE_SHARE = 0.6
        private const val ROUND_MILLIS = 1_000L
        private const val LOAD_WINDOW = 20
        private const val LOAD_THRESHOLD = 0.55
        private const val FAILURES_TO_DETECT = 5
        private const val SLOW_RESPONSES_TO_DETECT = 10
        private const val BURST_PERIOD_MILLIS = 60_000L
        private const val BURST_MILLIS = 10_000L
        private const val BURST_FAILURE_SHARE = 0.2
        private const val NOISE_FAILURE_SHARE = 0.03
        private const val FIRST_TOKEN_SPREAD = 0.4
        private const val BETWEEN_TOKENS_SPREAD = 0.2
    }
}
