package io.limpetfold.measure.slowreaders

import io.limpetfold.measure.MeasureCommand

/** Runs [SlowReadersMeasurement]. */
internal class SlowReadersCommand :
    MeasureCommand(
        "slow-readers",
        "Memory of a router with slow callers and slow uploads, and latency of a fast caller at the same time.",
    ) {
    override fun run() = print(SlowReadersMeasurement().run(COUNTS))

    private companion object {
        val COUNTS = listOf(1, 100, 1_000)
    }
}
