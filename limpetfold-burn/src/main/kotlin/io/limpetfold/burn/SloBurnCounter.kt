package io.limpetfold.burn

import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import java.time.InstantSource

/**
 * Counts requests against their objectives in intervals of five minutes and keeps six hours of them. Safe for
 * concurrent use.
 *
 * The number of series is bounded, so that the stored record stays well under the platform's limit of 1 MB. Workspaces
 * beyond the bound are counted together, per route, under [OTHER].
 */
class SloBurnCounter(
    private val clock: InstantSource,
) {
    private val series = LinkedHashMap<Key, ArrayDeque<SloBurnBucket>>()

    /** Counts one request; [isSlow] is ignored for a failed request. */
    fun record(
        route: RouteId,
        workspace: WorkspaceId,
        hasFailed: Boolean,
        isSlow: Boolean,
    ) {
        val start = clock.instant().epochSecond / INTERVAL_SECONDS * INTERVAL_SECONDS
        synchronized(series) {
            val wanted = Key(route.value, workspace.value)
            val key = if (wanted in series || series.size < MAX_SERIES) wanted else Key(route.value, OTHER)
            val buckets = series.getOrPut(key) { ArrayDeque() }
            if (buckets.lastOrNull()?.startEpochSeconds != start) buckets.addLast(SloBurnBucket(start))
            while (buckets.size > MAX_BUCKETS) buckets.removeFirst()
            val last = buckets.removeLast()
            buckets.addLast(
                last.copy(
                    total = last.total + 1,
                    failed = last.failed + if (hasFailed) 1 else 0,
                    slow = last.slow + if (isSlow && !hasFailed) 1 else 0,
                ),
            )
        }
    }

    /** Adds the stored counts of an earlier incarnation, except for intervals that are already counted here. */
    fun restore(record: SloBurnRecord) {
        synchronized(series) {
            for (stored in record.series) {
                val own = series.getOrPut(Key(stored.route, stored.workspace)) { ArrayDeque() }
                val ownStarts = own.mapTo(HashSet()) { it.startEpochSeconds }
                val merged =
                    (
                        stored.buckets.filter {
                            it.startEpochSeconds !in ownStarts
                        } + own
                    ).sortedBy { it.startEpochSeconds }
                own.clear()
                own.addAll(merged.takeLast(MAX_BUCKETS))
            }
        }
    }

    /** Returns a copy of the counts, to be stored. */
    fun toRecord(instance: String): SloBurnRecord =
        synchronized(series) {
            SloBurnRecord(
                instance,
                series.map { (key, buckets) ->
                    SloBurnSeries(key.route, key.workspace, buckets.toList())
                },
            )
        }

    private data class Key(
        val route: String,
        val workspace: String,
    )

    companion object {
        /** The workspace name under which workspaces beyond the bound are counted together. */
        const val OTHER = "(other)"
        private const val INTERVAL_SECONDS = 300L
        private const val MAX_BUCKETS = 72
        private const val MAX_SERIES = 100
    }
}
