package io.limpetfold.gateway.state

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/**
 * Follows the objects under a prefix: lists them once, watches from that position, and lists again when the store no
 * longer has the history.
 */
class ObjectFeed(
    private val store: ObjectStore,
    private val prefix: String,
    private val listener: FeedListener,
    private val currentPolicy: () -> FeedPolicy = { FeedPolicy() },
    private val random: Random = Random.Default,
) {
    private var position: ObjectVersion? = null
    private var failures = 0

    /** Follows the objects until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val from = position
            val error = survivingListener { if (from == null) list() else watch(from) }
            if (error == null) {
                failures = 0
            } else {
                onError(error)
            }
        }
    }

    /** Runs [step]; an exception of the listener is reported to it as a failed call and does not end the feed. */
    private suspend fun survivingListener(step: suspend () -> StoreError?): StoreError? =
        try {
            step()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            StoreError.Rejected("the objects under $prefix could not be applied: $e")
        }

    private suspend fun list(): StoreError? =
        store.list(prefix).fold(
            success = { page ->
                position = page.position
                listener.onListed(page)
                null
            },
            failure = { it },
        )

    private suspend fun watch(from: ObjectVersion): StoreError? {
        val policy = currentPolicy()
        return respondedWatch(from, policy).fold(
            success = { page ->
                position = maxOf(from, page.position)
                listener.onChanged(page)
                val isEmpty = page.objects.isEmpty() && page.removed.isEmpty()
                delay((if (isEmpty) policy.pauseAfterEmpty else policy.pauseAfterChange).toMillis())
                null
            },
            failure = { it },
        )
    }

    /** Cancels a watch whose response is overdue, which closes its connection. */
    private suspend fun respondedWatch(
        from: ObjectVersion,
        policy: FeedPolicy,
    ): Result<ObjectPage, StoreError> {
        val timeout = policy.watchWait + policy.responseMargin
        return withTimeoutOrNull(timeout.toMillis()) { store.watch(prefix, from, policy.watchWait) }
            ?: Err(StoreError.Unavailable("no response to a watch in ${timeout.toMillis()} ms"))
    }

    private suspend fun onError(error: StoreError) {
        if (error is StoreError.HistoryExpired) {
            position = null
            return
        }
        listener.onFailed(error)
        val shift = failures.coerceAtMost(MAX_DOUBLINGS)
        failures++
        val policy = currentPolicy()
        val maxDelayMillis = minOf(policy.backoffMin.toMillis() shl shift, policy.backoffMax.toMillis())
        delay(random.nextLong(maxDelayMillis / 2, maxDelayMillis + 1))
    }

    private companion object {
        const val MAX_DOUBLINGS = 6
    }
}
