package io.limpetfold.rollout

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeInRange
import kotlin.math.ln
import kotlin.random.Random

class SequentialComparisonTest :
    FunSpec({
        /** Returns after how many outcomes of the new version it is rejected at [errorRate]; null if it is not. */
        fun rejectedAfter(
            random: Random,
            oldShare: Double,
            newShare: Double,
            weight: Double,
            errorRate: Double,
        ): Int? {
            val comparison = SequentialComparison(0.02)
            val evidence = Evidence()
            var newCount = 0
            repeat(1_000) {
                val side = if (random.nextDouble() < weight) MoveSide.NEW else MoveSide.OLD
                if (side == MoveSide.NEW) newCount++
                comparison
                    .add(
                        side,
                        random.nextDouble() <
                            if (side ==
                                MoveSide.NEW
                            ) {
                                newShare
                            } else {
                                oldShare
                            },
                    )?.let(evidence::add)
                if (evidence.log >= ln(1 / errorRate)) return newCount
            }
            return null
        }

        // Guards against a comparison that rejects good versions too often because it is evaluated after each block.
        test("a version that is no worse is rejected no more often than the stated error rate") {
            for (share in listOf(0.005, 0.05, 0.3)) {
                for (weight in listOf(0.05, 0.5, 0.9)) {
                    val random = Random(7)
                    val rejected = (1..2_000).count { rejectedAfter(random, share, share, weight, 0.05) != null }
                    println("comparison: share=$share weight=$weight rejected=$rejected of 2000 at rate 0.05")
                    (rejected / 2_000.0) shouldBeLessThan 0.05
                }
            }
        }

        // Guards against a comparison that rejects an always failing version later than VersionGuard documents.
        test("a version that always fails is rejected within a bounded number of outcomes") {
            for ((weight, bound) in listOf(0.05 to 8, 0.25 to 16, 0.5 to 24)) {
                val random = Random(11)
                val worst = (1..500).maxOf { rejectedAfter(random, 0.005, 1.0, weight, 0.01 / 64) ?: 1_000 }
                println("comparison: weight=$weight always failing, rejected after at most $worst outcomes")
                worst shouldBeInRange 1..bound
            }
        }
    })
