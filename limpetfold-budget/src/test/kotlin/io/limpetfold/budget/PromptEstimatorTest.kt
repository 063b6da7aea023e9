package io.limpetfold.budget

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe

class PromptEstimatorTest :
    FunSpec({
        test("the bound stays at one byte per token until a window is full, so that few samples do not raise it") {
            val estimator = PromptEstimator(marginFraction = 0.1, windowSamples = 3)
            repeat(2) { estimator.observe("jezik", 400, 100) }
            estimator.maxPromptTokens("jezik", 360) shouldBe 360

            estimator.observe("jezik", 500, 100)
            estimator.maxPromptTokens("jezik", 360) shouldBe 100
            estimator.maxPromptTokens("limpet-lm", 360) shouldBe 360
        }

        test("a smaller ratio lowers the bound at once, also below one byte per token") {
            val estimator = PromptEstimator(marginFraction = 0.1, windowSamples = 3)
            estimator.observe("jezik", 50, 100)
            estimator.bytesPerToken("jezik") shouldBe (0.45 plusOrMinus 1e-9)
        }

        test("one unusual prompt does not raise reservations permanently") {
            val estimator = PromptEstimator(marginFraction = 0.0, windowSamples = 2)
            estimator.observe("jezik", 100, 100)
            repeat(4) { estimator.observe("jezik", 400, 100) }
            estimator.bytesPerToken("jezik") shouldBe (4.0 plusOrMinus 1e-9)
        }
    })
