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
 * longer has the history, or was restored from an older copy.
 */
class ObjectFeed(
    private val store: ObjectStore,
    private val prefix: String,
    private val listener: FeedListener,
    private val currentPolicy: () -> FeedPolicy = { FeedPolicy() },
    private val random: Random = Random.Default,
) {
    private var position: ObjectVersion? = null
    private var latestEra = 0L
    private var failures = 0
    private var expirations = 0

    /** Follows the objects until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val from = position
            val error = survivingListener { if (from == null) list() else watch(from) }
            when (error) {
                null -> failures = 0
                StoreError.HistoryExpired -> onHistoryExpired()
                else -> onError(error)
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
                if (page.position.era < latestEra) return StoreError.Unavailable("the listing is of an earlier era")
                latestEra = page.position.era
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
                if (page.position.era != from.era) return StoreError.HistoryExpired
                expirations = 0
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

    /** Lists again at once, but backs off when the history expires again before a watch succeeded. */
    private suspend fun onHistoryExpired() {
        position = null
        if (expirations > 0) backOff(expirations - 1)
        expirations++
    }

    private suspend fun onError(error: StoreError) {
        listener.onFailed(error)
        backOff(failures)
        failures++
    }

    private suspend fun backOff(earlierFailures: Int) {
        val shift = earlierFailures.coerceAtMost(MAX_DOUBLINGS)
        val policy = currentPolicy()
        val maxDelayMillis = minOf(policy.backoffMin.toMillis() shl shift, policy.backoffMax.toMillis())
        delay(random.nextLong(maxDelayMillis / 2, maxDelayMillis + 1))
    }

    private companion object {
        const val MAX_DOUBLINGS = 6
    }
}
