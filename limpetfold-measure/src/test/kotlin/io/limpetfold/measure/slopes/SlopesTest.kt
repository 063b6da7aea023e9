package io.limpetfold.measure.slopes

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe

/** Guards against slopes that include the part of the cost that does not depend on the number of items. */
class SlopesTest :
    FunSpec({
        test("the slope is the growth per item without the constant part") {
            CpuSlope.perItem(few = 100, fewMicros = 150.0, many = 300, manyMicros = 250.0) shouldBe
                (0.5 plusOrMinus 1e-9)
        }

        test("a frame adds a small constant to its payload") {
            FrameSize.askBytes("journal.copy", 1_000) - 1_000 shouldBeInRange 20..80
            FrameSize.replyBytes(1_000) - 1_000 shouldBeInRange 15..60
        }
    })
