package io.limpetfold.gateway.operate

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.InstanceId
import io.limpetfold.core.ZoneId
import io.limpetfold.dispatch.FleetRetryBudgetPolicy
import io.limpetfold.gateway.GatewaySettings
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.http.HostPort
import io.limpetfold.store.ObjectKey
import java.time.Duration

/** Guards against changed settings that are not applied, and against invalid settings that replace the active ones. */
class ReloadableSettingsTest :
    FunSpec({
        val address = HostPort("10.0.0.1", 80)
        val settings =
            GatewaySettings(
                InstanceId("10.0.0.1"),
                ZoneId("z"),
                address,
                address,
                address,
                address,
                "secret",
                ObjectKey("config/main"),
                "servers/",
                "rollouts/",
                FleetRetryBudgetPolicy(retryRatio = 0.2, minRetries = 50.0, window = Duration.ofSeconds(10)),
            )

        test("a changed retry budget and grace period apply at once, and a changed zone only at the next start") {
            val changed =
                settings.copy(
                    zone = ZoneId("other"),
                    retryBudget =
                        FleetRetryBudgetPolicy(
                            retryRatio = 0.1,
                            minRetries = 20.0,
                            window = Duration.ofSeconds(5),
                        ),
                    shutdown = ShutdownPolicy(gracePeriod = Duration.ofSeconds(4)),
                )
            val reloadable = ReloadableSettings(settings, { Ok(changed) }, DecisionLog("test"))
            reloadable.reload()
            reloadable.current.retryBudget shouldBe
                FleetRetryBudgetPolicy(retryRatio = 0.1, minRetries = 20.0, window = Duration.ofSeconds(10))
            reloadable.current.shutdown.gracePeriod shouldBe Duration.ofSeconds(4)
            reloadable.current.zone shouldBe ZoneId("z")
        }

        test("settings that can't be read leave the active ones unchanged, and later valid ones are applied") {
            var read: Result<GatewaySettings, String> = Err("cut off")
            val reloadable = ReloadableSettings(settings, { read }, DecisionLog("test"))
            reloadable.reload()
            reloadable.current shouldBe settings
            read = Ok(settings.copy(shutdown = ShutdownPolicy(gracePeriod = Duration.ofSeconds(3))))
            reloadable.reload()
            reloadable.current.shutdown.gracePeriod shouldBe Duration.ofSeconds(3)
        }
    })
