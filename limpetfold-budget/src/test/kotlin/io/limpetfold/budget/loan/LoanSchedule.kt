package io.limpetfold.budget.loan

import com.github.michaelbull.result.get
import io.limpetfold.testing.PeerFault
import java.time.Duration
import kotlin.random.Random

/**
 * A seeded schedule of calls, lost messages and pauses.
 *
 * @property hasRestarts whether routers are killed and restarted.
 * @property hasRepeats whether loan requests are delivered late or once more.
 */
internal class LoanSchedule(
    seed: Int,
    private val hasRestarts: Boolean,
    private val hasRepeats: Boolean,
) {
    val fleet = LoanFleet(ROUTERS, seed)

    /** The tokens that settled and killed calls have used at most. */
    var usedTokens = 0L
        private set

    private val random = Random(seed)
    private val running = ArrayDeque<RunningCall>()

    suspend fun run() =
        repeat(STEPS) {
            startCall()
            if (running.size > MAX_RUNNING || random.nextInt(3) == 0) running.removeFirstOrNull()?.let(::endCall)
            if (hasRestarts && random.nextInt(12) == 0) restart(random.nextInt(ROUTERS))
            if (random.nextInt(8) == 0) fleet.hub.fault = fleet.randomFault(random)
            if (hasRepeats && random.nextInt(3) == 0) fleet.deliverAgain(random)
            if (random.nextInt(4) == 0) fleet.advance(Duration.ofMillis(random.nextLong(3_000)))
        }

    /** Ends all calls, lets all messages arrive and advances the clock by [rounds] seconds. */
    suspend fun settle(rounds: Int) {
        running.forEach(::endCall)
        running.clear()
        fleet.hub.fault = { _, _ -> PeerFault.NONE }
        repeat(rounds) { fleet.advance(Duration.ofSeconds(1)) }
    }

    private suspend fun startCall() {
        val router = fleet.routers.random(random)
        val tokens = random.nextLong(1, MAX_CALL_TOKENS)
        val reservation = router.borrower.reserve(LoanFleet.WORKSPACE, LoanFleet.REQUEST, tokens, Duration.ZERO).get()
        if (reservation != null) running += RunningCall(router, reservation, tokens)
    }

    private fun endCall(call: RunningCall) {
        val used = random.nextLong(call.tokens + 1)
        usedTokens += used
        call.router.borrower.settle(call.reservation, used)
    }

    /** Kills a router; its running calls may have used all of their tokens. */
    private fun restart(index: Int) {
        val router = fleet.routers[index]
        usedTokens += running.filter { it.router === router }.sumOf { it.tokens }
        running.removeAll { it.router === router }
        fleet.restart(index)
    }

    private class RunningCall(
        val router: LoanFleet.Router,
        val reservation: TokenReservation,
        val tokens: Long,
    )

    private companion object {
        const val ROUTERS = 8
        const val STEPS = 150
        const val MAX_RUNNING = 6
        const val MAX_CALL_TOKENS = 20_000L
    }
}
