package io.limpetfold.gateway.call

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield
import java.time.Duration

private val LONG_WAIT: Duration = Duration.ofSeconds(60)

/** Load pattern: many callers that send bodies of the largest allowed size to one router at the same time. */
class BodyBudgetTest :
    FunSpec({
        test("guards against bodies that are each allowed and together take more memory than there is") {
            val budget = BodyBudget(maxBytes = 10)
            budget.reserve(6, Duration.ZERO) shouldBe true
            budget.reserve(5, Duration.ZERO) shouldBe false
            budget.reserve(4, Duration.ZERO) shouldBe true
            budget.usedBytes shouldBe 10
            budget.release(6)
            budget.reserve(6, Duration.ofMillis(1)) shouldBe true
        }

        test("guards against a large body that waits for ever behind small ones that come later") {
            coroutineScope {
                val budget = BodyBudget(maxBytes = 10)
                budget.reserve(6, Duration.ZERO)
                val large = async { budget.reserve(8, LONG_WAIT) }
                yield()
                val small = async { budget.reserve(1, LONG_WAIT) }
                yield()
                small.isCompleted shouldBe false
                budget.release(6)
                large.await() shouldBe true
                small.await() shouldBe true
                budget.usedBytes shouldBe 9
            }
        }

        test(
            "guards against memory that stays reserved, or calls that stay behind, when a waiting caller disconnects",
        ) {
            coroutineScope {
                val budget = BodyBudget(maxBytes = 10)
                budget.reserve(6, Duration.ZERO)
                val cancelled = launch { budget.reserve(8, LONG_WAIT) }
                yield()
                val next = async { budget.reserve(4, LONG_WAIT) }
                yield()
                cancelled.cancelAndJoin()
                next.await() shouldBe true
                budget.release(6)
                budget.release(4)
                budget.usedBytes shouldBe 0
            }
        }

        test("guards against small bodies that wait, and are refused, behind large ones") {
            coroutineScope {
                val budget = BodyBudget(maxBytes = 10_000)
                budget.reserve(9_000, Duration.ZERO)
                val large = launch { budget.reserve(8_000, LONG_WAIT) }
                yield()
                budget.reserve(10, Duration.ZERO) shouldBe true
                budget.reserve(11, Duration.ZERO) shouldBe false
                large.cancelAndJoin()
            }
        }

        test("guards against a wait that ends in time only when memory is given back") {
            val budget = BodyBudget(maxBytes = 10)
            budget.reserve(6, Duration.ZERO)
            budget.reserve(8, Duration.ofMillis(20)) shouldBe false
            budget.reserve(11, LONG_WAIT) shouldBe false
            budget.usedBytes shouldBe 6
        }
    })
