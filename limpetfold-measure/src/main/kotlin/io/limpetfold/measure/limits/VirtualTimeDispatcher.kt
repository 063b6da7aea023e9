package io.limpetfold.measure.limits

import io.limpetfold.testing.TestClock
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import java.time.Duration
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext

/** Runs coroutines in order on the thread that calls [runUntil]; delays advance a test clock from timer to timer. */
@OptIn(InternalCoroutinesApi::class)
internal class VirtualTimeDispatcher :
    CoroutineDispatcher(),
    Delay {
    val clock = TestClock()
    private val ready = ArrayDeque<Runnable>()
    private val timers = PriorityQueue<Timer>(compareBy({ it.dueMillis }, { it.sequence }))
    private var timerCount = 0L

    var nowMillis = 0L
        private set

    /** Runs all tasks and timers that are due up to [millis]; later timers stay scheduled. */
    fun runUntil(millis: Long) {
        while (true) {
            while (ready.isNotEmpty()) ready.removeFirst().run()
            val next = timers.peek() ?: return
            if (next.dueMillis > millis) return
            timers.poll()
            clock.advance(Duration.ofMillis(next.dueMillis - nowMillis))
            nowMillis = next.dueMillis
            next.block.run()
        }
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        ready += block
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = add(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timers.remove(timer) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = add(timeMillis, block)
        return DisposableHandle { timers.remove(timer) }
    }

    private fun add(
        delayMillis: Long,
        block: Runnable,
    ) = Timer(nowMillis + maxOf(0, delayMillis), timerCount++, block).also { timers += it }

    private class Timer(
        val dueMillis: Long,
        val sequence: Long,
        val block: Runnable,
    )
}
