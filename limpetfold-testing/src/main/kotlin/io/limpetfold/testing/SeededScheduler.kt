package io.limpetfold.testing

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import java.time.Duration
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

/** Runs coroutines on the calling thread in an order chosen by [random], with timers on [clock]. */
class SeededScheduler(
    private val random: Random,
    private val clock: TestClock,
) {
    private val ready = mutableListOf<Task>()
    private val timers = mutableListOf<Timer>()
    private var nowMillis = 0L

    /** Runs one ready task of a dispatcher that is not paused; returns false when there is none. */
    fun step(): Boolean {
        val runnable = ready.indices.filter { !ready[it].dispatcher.isPaused }
        if (runnable.isEmpty()) return false
        ready.removeAt(runnable.random(random)).block.run()
        return true
    }

    /** Advances the clock and makes the tasks of due timers ready. */
    fun advance(millis: Long) {
        clock.advance(Duration.ofMillis(millis))
        nowMillis += millis
        val due = timers.filter { it.dueMillis <= nowMillis }
        timers -= due.toSet()
        ready += due.map { Task(it.dispatcher, it.block) }
    }

    /** Runs all tasks of dispatchers that are not paused, moving the clock from timer to timer, until none is left. */
    fun runUntilIdle() {
        while (step() || timers.isNotEmpty()) {
            if (ready.all { it.dispatcher.isPaused } &&
                timers.isNotEmpty()
            ) {
                advance(maxOf(0, timers.minOf { it.dueMillis } - nowMillis))
            }
        }
    }

    /** The dispatcher of one router; while it is paused, its tasks wait. */
    @OptIn(InternalCoroutinesApi::class)
    inner class RouterDispatcher :
        CoroutineDispatcher(),
        Delay {
        var isPaused = false

        override fun dispatch(
            context: CoroutineContext,
            block: Runnable,
        ) {
            ready += Task(this, block)
        }

        override fun scheduleResumeAfterDelay(
            timeMillis: Long,
            continuation: CancellableContinuation<Unit>,
        ) {
            val timer = Timer(this, nowMillis + timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
            timers += timer
            continuation.invokeOnCancellation { timers -= timer }
        }

        override fun invokeOnTimeout(
            timeMillis: Long,
            block: Runnable,
            context: CoroutineContext,
        ): DisposableHandle {
            val timer = Timer(this, nowMillis + timeMillis, block)
            timers += timer
            return DisposableHandle { timers -= timer }
        }
    }

    private class Task(
        val dispatcher: RouterDispatcher,
        val block: Runnable,
    )

    private class Timer(
        val dispatcher: RouterDispatcher,
        val dueMillis: Long,
        val block: Runnable,
    )
}
