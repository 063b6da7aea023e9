package io.limpetfold.standins

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.PriorityQueue
import kotlin.coroutines.resume

/** The places of a continuous batch; waiting requests enter by priority, then in order of arrival. */
internal class EngineBatch {
    private class Waiter(
        val priority: Int,
        val order: Long,
        val continuation: CancellableContinuation<Unit>,
    )

    private val waiters = PriorityQueue<Waiter>(compareBy({ -it.priority }, { it.order }))
    private var arrivals = 0L

    @Volatile
    var running = 0
        private set

    val waiting: Int get() = synchronized(waiters) { waiters.size }

    /** Waits for a place among [capacity], runs [block] in it, and passes the place on. */
    suspend fun <T> run(
        capacity: () -> Int,
        priority: Int,
        block: suspend () -> T,
    ): T {
        enter(capacity(), priority)
        try {
            return block()
        } finally {
            leave(capacity())
        }
    }

    private suspend fun enter(
        capacity: Int,
        priority: Int,
    ) = suspendCancellableCoroutine { continuation ->
        synchronized(waiters) {
            if (running < capacity) {
                running++
                continuation.resume(Unit) { _, _, _ -> leave(capacity) }
            } else {
                val waiter = Waiter(priority, arrivals++, continuation)
                waiters += waiter
                continuation.invokeOnCancellation { synchronized(waiters) { waiters.remove(waiter) } }
            }
        }
    }

    private fun leave(capacity: Int) {
        synchronized(waiters) {
            running--
            while (running < capacity) {
                val next = waiters.poll() ?: return
                if (!next.continuation.isActive) continue
                running++
                next.continuation.resume(Unit) { _, _, _ -> leave(capacity) }
            }
        }
    }
}
