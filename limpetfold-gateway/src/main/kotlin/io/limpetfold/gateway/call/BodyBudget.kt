package io.limpetfold.gateway.call

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/**
 * The memory for the request bodies of all running calls. Calls that find no room wait in the order of their arrival,
 * while their connections are not read; only small bodies overtake them. Not safe for concurrent use.
 *
 * @param maxBytes the bytes that all bodies together may take.
 */
internal class BodyBudget(
    private val maxBytes: Long,
) {
    private class Waiter(
        val bytes: Long,
    ) {
        val granted = CompletableDeferred<Unit>()
    }

    private val waiters = ArrayDeque<Waiter>()
    private val smallBodyBytes = maxBytes / SMALL_BODY_DIVISOR

    /** The bytes that are reserved. */
    var usedBytes: Long = 0
        private set

    /** Reserves [bytes], and waits up to [maxWait] for them; returns false if there is no room in time. */
    suspend fun reserve(
        bytes: Long,
        maxWait: Duration,
    ): Boolean {
        if ((waiters.isEmpty() || bytes <= smallBodyBytes) && fits(bytes)) {
            usedBytes += bytes
            return true
        }
        if (bytes > maxBytes || maxWait <= Duration.ZERO) return false
        return awaitRoom(Waiter(bytes), maxWait)
    }

    /** Gives [bytes] back. */
    fun release(bytes: Long) {
        usedBytes -= bytes
        grantWaiters()
    }

    private suspend fun awaitRoom(
        waiter: Waiter,
        maxWait: Duration,
    ): Boolean {
        waiters += waiter
        var isTaken = false
        try {
            isTaken = withTimeoutOrNull(maxWait.toMillis()) { waiter.granted.await() } != null
        } finally {
            if (!isTaken) giveUp(waiter)
        }
        return isTaken
    }

    private fun giveUp(waiter: Waiter) {
        if (waiter.granted.isCompleted) return release(waiter.bytes)
        waiters -= waiter
        grantWaiters()
    }

    private fun grantWaiters() {
        while (waiters.isNotEmpty() && fits(waiters.first().bytes)) {
            val waiter = waiters.removeFirst()
            usedBytes += waiter.bytes
            waiter.granted.complete(Unit)
        }
    }

    private fun fits(bytes: Long) = usedBytes + bytes <= maxBytes

    private companion object {
        /** So many small bodies take as much as all bodies may; a few of them do not delay a large one. */
        const val SMALL_BODY_DIVISOR = 1_000L
    }
}
