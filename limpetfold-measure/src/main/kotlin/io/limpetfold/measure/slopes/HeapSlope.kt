package io.limpetfold.measure.slopes

import java.lang.management.ManagementFactory
import java.lang.ref.Reference

/** Measures the heap that a data structure retains: heap in use after a full collection with it, minus without it. */
internal object HeapSlope {
    private const val COLLECTIONS = 4
    private const val PAUSE_MILLIS = 20L

    /** Retained bytes per item of the object that [build] returns, without objects reachable from elsewhere. */
    fun bytesPerItem(
        items: Int,
        build: (Int) -> Any,
    ): Double {
        build(items)
        val holder = arrayOfNulls<Any>(1)
        holder[0] = build(items)
        val with = usedBytes()
        Reference.reachabilityFence(holder[0])
        holder[0] = null
        val without = usedBytes()
        Reference.reachabilityFence(build)
        return (with - without).toDouble() / items
    }

    /** Heap in use after full collections, in bytes. */
    fun usedBytes(): Long {
        repeat(COLLECTIONS) {
            System.gc()
            Thread.sleep(PAUSE_MILLIS)
        }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }
}
