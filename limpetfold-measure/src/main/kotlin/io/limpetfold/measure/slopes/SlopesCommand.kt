package io.limpetfold.measure.slopes

import io.limpetfold.measure.MeasureCommand

/** Runs [SlopesMeasurement]. */
internal class SlopesCommand : MeasureCommand("slopes", "Growth of memory, processor time, messages and objects with the number of items.") {
    override fun run() = print(SlopesMeasurement().run())
}
