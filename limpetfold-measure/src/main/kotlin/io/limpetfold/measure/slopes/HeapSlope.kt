package io.limpetfold.measure.slopes

import java.lang.management.ManagementFactory
import java.lang.ref.Reference

/** Heap held by a structure, as the difference between the heap after a collection with it and without it. */
internal object HeapSlope {
    private const val COLLECTIONS = 4
    private const val PAUSE_MILLIS = 20L

    /** Bytes for each item of what [build] returns; what [build] only refers to from outside is not counted. */
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

    /** Heap in use after full collections. */
    fun usedBytes(): Long {
        repeat(COLLECTIONS) {
            System.gc()
            Thread.sleep(PAUSE_MILLIS)
        }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }
}
