package io.limpetfold.dispatch

import java.time.Duration

/** Counts the events of the last [window], in buckets; an event is removed up to one bucket late, never early. */
internal class SlidingWindowCounter(
    private val window: Duration,
) {
    private val buckets = ArrayDeque<Bucket>()
    private var total = 0

    private class Bucket(
        val index: Long,
        var count: Int,
    )

    fun add(now: Duration) {
        val index = indexOf(now)
        val last = buckets.lastOrNull()
        if (last != null && last.index == index) last.count++ else buckets.addLast(Bucket(index, 1))
        total++
    }

    fun count(now: Duration): Int {
        val newestExpired = indexOf(now) - BUCKETS - 1
        while (buckets.isNotEmpty() && buckets.first().index <= newestExpired) total -= buckets.removeFirst().count
        return total
    }

    private fun indexOf(now: Duration): Long = now.toNanos() * BUCKETS / window.toNanos()

    private companion object {
        const val BUCKETS = 20
    }
}
