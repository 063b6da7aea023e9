package io.limpetfold.gateway.observe

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import java.time.Duration

class GatewayMetricsPageTest :
    FunSpec({
        test(
            "guards against a metrics page that omits a metric of the gateway or lists one that does not exist, and against a workspace label",
        ) {
            val metrics = GatewayMetrics()
            metrics.recordCallEnded("route", "answered", Duration.ofMillis(5), Duration.ofMillis(2), attempts = 2)
            metrics.recordCallRefused("no_route")
            metrics.countEvent(BudgetObserver.EVENTS_METRIC, "refused")
            metrics.countEvent(EndpointNoticeObserver.EVENTS_METRIC, "leaving")
            metrics.countEvent(EndpointConnectionObserver.EVENTS_METRIC, "identity_mismatch")
            GAUGES.forEach { metrics.gauge(it, "A gauge") { 1.0 } }
            val scraped = metrics.scrape()

            val served =
                Regex("# TYPE (limpetfold_\\S+)")
                    .findAll(scraped)
                    .map {
                        it.groupValues[1]
                    }.filterNot { it.endsWith("_max") }
                    .toSet()
            val listed = Regex("\\| `(limpetfold_\\w+)` \\|").findAll(page()).map { it.groupValues[1] }.toSet()
            listed shouldBe served
            Regex("workspace=").findAll(scraped).toList().shouldBeEmpty()
        }
    }) {
    private companion object {
        val GAUGES =
            listOf(
                "limpetfold_budget_held_tokens",
                "limpetfold_quarantined_prompt_parts",
                "limpetfold_quarantine_unsaved",
                "limpetfold_calls_running",
                "limpetfold_buffered_bytes",
                "limpetfold_request_body_bytes",
                "limpetfold_config_version",
                "limpetfold_store_era",
                "limpetfold_routers_heard",
            )

        fun page(): String =
            generateSequence(Path.of("").toAbsolutePath()) { it.parent }
                .map { it.resolve("docs/gateway-metrics.md") }
                .first { Files.exists(it) }
                .let { Files.readString(it) }
    }
}
