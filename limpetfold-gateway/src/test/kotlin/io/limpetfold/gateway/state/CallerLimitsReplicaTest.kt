package io.limpetfold.gateway.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.gateway.GatewayDefaults
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.routing.CallerLimits
import java.time.Duration

class CallerLimitsReplicaTest :
    FunSpec({
        val defaults = GatewayDefaults.CALLER_LIMITS

        fun limitsOf(configured: CallerLimits) =
            CallerLimitsReplica(defaults, DecisionLog("test")).also { it.apply(configured, version = 1) }.current()

        test(
            "guards against limits of the configuration that are not in force, or stay after it no longer states them",
        ) {
            val replica = CallerLimitsReplica(defaults, DecisionLog("test"))
            replica.current() shouldBe defaults
            replica.apply(CallerLimits(32_768.0, 8_000_000.0, 3_000.0, 60_000.0), version = 1)
            replica.current() shouldBe
                defaults.copy(
                    maxHeaderBytes = 32_768,
                    maxBodyBytes = 8_000_000,
                    headerTimeout = Duration.ofSeconds(3),
                    idleTimeout = Duration.ofSeconds(60),
                )
            replica.apply(CallerLimits.NONE, version = 2)
            replica.current() shouldBe defaults
        }

        test("guards against a limit of zero or below that shuts out all callers") {
            for (value in listOf(0.0, -1.0, -1e300, Double.NEGATIVE_INFINITY)) {
                limitsOf(CallerLimits(value, value, value, value)) shouldBe defaults
            }
        }

        test("guards against huge and tiny limits that overflow, or that no connection can meet") {
            for (value in listOf(1e30, Double.POSITIVE_INFINITY)) {
                val limits = limitsOf(CallerLimits(value, value, value, value))
                limits.maxHeaderBytes shouldBe 262_144
                limits.maxBodyBytes shouldBe 1_073_741_824
                limits.headerTimeout shouldBe Duration.ofMinutes(10)
                limits.idleTimeout shouldBe Duration.ofHours(1)
            }
            val tiny = limitsOf(CallerLimits(0.1, 0.1, 0.1, 0.1))
            tiny.maxHeaderBytes shouldBe 1_024
            tiny.maxBodyBytes shouldBe 1
            tiny.headerTimeout shouldBe Duration.ofMillis(100)
            tiny.idleTimeout shouldBe Duration.ofSeconds(1)
        }
    })
