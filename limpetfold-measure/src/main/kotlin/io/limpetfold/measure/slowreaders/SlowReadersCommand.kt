package io.limpetfold.measure.slowreaders

import io.limpetfold.measure.MeasureCommand

/** Runs [SlowReadersMeasurement]. */
internal class SlowReadersCommand : MeasureCommand("slow-readers", "Memory for slow callers and uploads, and a fast caller beside them.") {
    override fun run() = print(SlowReadersMeasurement().run(COUNTS))

    private companion object {
        val COUNTS = listOf(1, 100, 1_000)
    }
}
