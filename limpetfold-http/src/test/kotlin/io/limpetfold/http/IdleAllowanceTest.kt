package io.limpetfold.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.time.Duration

class IdleAllowanceTest :
    FunSpec({
        fun idle(seconds: Long) =
            HttpServerSettings(idleTimeout = Duration.ofSeconds(seconds))
                .connectionLimits
                .copy(idleMargin = Duration.ofSeconds(1))

        test("guards against a connection cut under a lowered limit before it has been used again") {
            val allowance = IdleAllowance(idle(15))
            allowance.extend(idle(5))
            allowance.duration shouldBe Duration.ofSeconds(16)
            allowance.restart(announced = idle(5), current = idle(5))
            allowance.duration shouldBe Duration.ofSeconds(6)
        }

        test(
            "guards against a raised limit that idle connections do not follow, or that is forgotten when lowered again",
        ) {
            val allowance = IdleAllowance(idle(5))
            allowance.extend(idle(60))
            allowance.extend(idle(2))
            allowance.duration shouldBe Duration.ofSeconds(61)
        }

        test("guards against a connection cut before the time that its latest response announced") {
            val allowance = IdleAllowance(idle(5))
            allowance.restart(announced = idle(30), current = idle(10))
            allowance.duration shouldBe Duration.ofSeconds(31)
            allowance.restart(announced = idle(5), current = idle(20))
            allowance.duration shouldBe Duration.ofSeconds(21)
        }
    })
