package io.limpetfold.config

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.store.TypedObject
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

class FleetConfigTest :
    FunSpec({
        test("guards against a field that is lost when a configuration is stored and read back") {
            val config = sampleConfig()
            val text = TypedObject.JSON.encodeToString(FleetConfig.serializer(), config)

            TypedObject.JSON.decodeFromString(FleetConfig.serializer(), text) shouldBe config
            config.problems() shouldBe emptyList()
        }

        test("guards against a path prefix that matches part of a segment or takes precedence over a longer prefix") {
            val base = sampleConfig()
            val route = base.routes[0]
            val all = route.copy(route = RouteId("all"), pathPrefix = "/")
            val config = base.copy(routes = (persistentListOf(all) + base.routes).toImmutableList())

            config.routeFor("/v1/chat/completions")?.route shouldBe RouteId("chat")
            config.routeFor("/v1/chatter")?.route shouldBe RouteId("all")
        }

        test("guards against acceptance of an unknown key and against a retry of a call that is not repeatable") {
            val config = sampleConfig()
            config.workspaceByKey("demo-key-dom")?.workspace shouldBe WorkspaceId("dom")
            config.workspaceByKey("demo-key-do") shouldBe null

            val rules = persistentListOf(CallRule("POST", "/v1/chat/{id}/retry", isRepeatable = true))
            val route = config.routes[0].copy(calls = rules)
            route.callRule("POST", "/v1/chat/7/retry").isRepeatable shouldBe true
            route.callRule("POST", "/v1/chat").isRepeatable shouldBe false
            route.callRule("GET", "/v1/chat").isRepeatable shouldBe true
        }

        test("guards against durations and sizes that change in a round trip through text") {
            for (text in listOf("0ms", "250ms", "18s", "5m", "24h")) {
                DurationSerializer.format(DurationSerializer.parse(text) ?: Duration.ZERO) shouldBe text
            }
            for (text in listOf("0B", "512B", "64KiB", "1536B", "3MiB", "1GiB")) {
                ByteSize.parse(text).toString() shouldBe
                    text
            }
            DurationSerializer.parse("18") shouldBe null
            ByteSize.parse("64kb") shouldBe null
        }
    })
