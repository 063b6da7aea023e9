package io.limpetfold.standins

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.util.PriorityQueue
import kotlin.coroutines.resume

/** The slots of a continuous batch; waiting requests get a slot by priority, then in order of arrival. */
internal class EngineBatch {
    private class Waiter(
        val priority: Int,
        val arrival: Long,
        val continuation: CancellableContinuation<Unit>,
    )

    private val waiters = PriorityQueue<Waiter>(compareBy({ -it.priority }, { it.arrival }))
    private var arrivalCount = 0L

    @Volatile
    var running = 0
        private set

    val waiting: Int get() = synchronized(waiters) { waiters.size }

    /** Waits until fewer than [capacity] requests run, runs [block], and passes the slot to the next waiting request. */
    suspend fun <T> run(
        capacity: () -> Int,
        priority: Int,
        block: suspend () -> T,
    ): T {
        acquireSlot(capacity(), priority)
        try {
            return block()
        } finally {
            releaseSlot(capacity())
        }
    }

    private suspend fun acquireSlot(
        capacity: Int,
        priority: Int,
    ) = suspendCancellableCoroutine { continuation ->
        synchronized(waiters) {
            if (running < capacity) {
                running++
                continuation.resume(Unit) { _, _, _ -> releaseSlot(capacity) }
            } else {
                val waiter = Waiter(priority, arrivalCount++, continuation)
                waiters += waiter
                continuation.invokeOnCancellation { synchronized(waiters) { waiters.remove(waiter) } }
            }
        }
    }

    private fun releaseSlot(capacity: Int) {
        synchronized(waiters) {
            running--
            while (running < capacity) {
                val next = waiters.poll() ?: return
                if (!next.continuation.isActive) continue
                running++
                next.continuation.resume(Unit) { _, _, _ -> releaseSlot(capacity) }
            }
        }
    }
}
