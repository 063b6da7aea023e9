package io.limpetfold.measure.slopes

import java.lang.management.ManagementFactory

/** Measures CPU time of the calling thread and its growth with the number of items. */
internal object CpuSlope {
    private const val NANOS_PER_MICRO = 1_000.0

    /** Mean CPU time of one call of [round] in microseconds. [round] must do its work on the calling thread. */
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

    /** Growth of the cost in microseconds per item, without the part that does not depend on the number of items. */
    fun perItem(
        few: Int,
        fewMicros: Double,
        many: Int,
        manyMicros: Double,
    ): Double = (manyMicros - fewMicros) / (many - few)
}
