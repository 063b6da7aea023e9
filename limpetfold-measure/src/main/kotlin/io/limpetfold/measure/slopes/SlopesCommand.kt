package io.limpetfold.measure.slopes

import io.limpetfold.measure.MeasureCommand

/** Runs [SlopesMeasurement]. */
internal class SlopesCommand :
    MeasureCommand("slopes", "Growth of heap, CPU time, peer messages and stored objects with the number of items.") {
    override fun run() = print(SlopesMeasurement().run())
}
