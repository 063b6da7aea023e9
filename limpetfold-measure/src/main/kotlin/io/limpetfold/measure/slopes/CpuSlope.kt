package io.limpetfold.measure.slopes

import java.lang.management.ManagementFactory

/** Processor time of the calling thread. */
internal object CpuSlope {
    private const val NANOS_PER_MICRO = 1_000.0

    /** Microseconds of one call of [round], which must do its work on the calling thread. */
    fun microsPerRound(
        rounds: Int,
        round: () -> Unit,
    ): Double {
        repeat(rounds) { round() }
        val threads = ManagementFactory.getThreadMXBean()
        val start = threads.currentThreadCpuTime
        repeat(rounds) { round() }
        return (threads.currentThreadCpuTime - start) / NANOS_PER_MICRO / rounds
    }

    /** The part of the cost that grows with the items, in microseconds for each item. */
    fun perItem(
        few: Int,
        fewMicros: Double,
        many: Int,
        manyMicros: Double,
    ): Double = (manyMicros - fewMicros) / (many - few)
}
