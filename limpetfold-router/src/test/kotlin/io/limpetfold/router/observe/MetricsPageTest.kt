package io.limpetfold.router.observe

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.http.HttpExchange
import io.limpetfold.request.Refusal
import io.limpetfold.router.call.Call
import io.limpetfold.router.call.CallEnd
import kotlinx.collections.immutable.persistentListOf
import java.lang.reflect.Proxy
import java.nio.file.Path
import java.time.Duration
import java.time.Instant
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.time.TimeSource

class MetricsPageTest :
    FunSpec({
        test("guards against a metrics page that differs from the metrics of a router, and against a workspace label") {
            val metrics = RouterMetrics()
            RouterGauges({ 1 }, { 1 }, { 1 }, { 1 }, { 1 }, { true }, { 1 }, { 1 }, { 1 }).register(metrics)
            listOf(RouterMetrics.BUDGET_EVENTS, RouterMetrics.MEMBER_EVENTS, RouterMetrics.WITHDRAWALS).forEach {
                metrics.count(it, "a")
            }
            val ends =
                listOf(
                    CallEnd.Answered(200, Duration.ofMillis(1), Duration.ofMillis(1), 1),
                    CallEnd.Refused(Refusal.Unauthenticated),
                )
            for (end in ends) {
                metrics.onStarted()
                metrics.onEnded(call(), end)
            }

            val scraped = metrics.registry.scrape()

            val registered =
                Regex("(?m)^# TYPE (\\S+) (\\S+)$")
                    .findAll(scraped)
                    .map {
                        it.groupValues[1] to
                            it.groupValues[2]
                    }.toSet()
            // The registry adds a gauge of the maximum to each timer.
            val names = registered.map { it.first }.filterNot { it.endsWith("_seconds_max") }
            val rows =
                PAGE
                    .substringBefore("## Alerts")
                    .lines()
                    .filter { it.startsWith("| `") }
                    .map { it.split(" | ") }
            val documented = rows.flatMap { row -> NAME.findAll(row[0]).map { it.value to row } }
            documented.map { it.first }.sorted() shouldBe names.sorted()
            for ((name, row) in documented) {
                val type = row[1].substringBefore(',').trim()
                (name to type) shouldBeIn registered
                val labels =
                    Regex("(?m)^$name(?:_bucket)?\\{(.*)}").findAll(scraped).flatMap { line ->
                        Regex("(\\w+)=").findAll(line.groupValues[1]).map { it.groupValues[1] }
                    }
                labels.toSet() - "le" shouldBe Regex("`(\\w+)`").findAll(row[2]).map { it.groupValues[1] }.toSet()
                labels.toList() shouldNotContain "workspace"
            }
            NAME.findAll(PAGE.substringAfter("## Alerts")).forEach { it.value shouldBeIn names }
        }
    }) {
    private companion object {
        val NAME = Regex("limpetfold_[a-z_]+")
        val PAGE =
            generateSequence(Path.of("").toAbsolutePath()) { it.parent }
                .map { it.resolve("docs/metrics.md") }
                .first { it.exists() }
                .readText()

        fun call(): Call {
            val exchange =
                Proxy.newProxyInstance(
                    HttpExchange::class.java.classLoader,
                    arrayOf(HttpExchange::class.java),
                ) { _, _, _ -> null } as HttpExchange
            val now = TimeSource.Monotonic.markNow()
            val trace = RequestTrace(WorkspaceId("w"), RequestId("r"), RouteId("a"), Instant.EPOCH, now)
            val workspace = WorkspaceConfig(WorkspaceId("w"), persistentListOf())
            val route = RouteConfig(RouteId("a"), "/", "s", VersionId("1"))
            val service = ServiceConfig("s", ServiceKind.MODEL, versions = persistentListOf())
            return Call(exchange, workspace, route, service, RequestId("r"), true, 0, now, now, trace)
        }
    }
}
