package io.limpetfold.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toImmutableList
import java.time.Duration

class RoutingTableTest :
    FunSpec({
        fun route(isPublic: Boolean) =
            ForwardingRoute(
                route = RouteId("r"),
                host = "h",
                pathPrefix = "/r/",
                kind = CallKind.IDEMPOTENT,
                timeout = Duration.ofSeconds(1),
                latencyObjective = Duration.ofMillis(100),
                eventGapObjective = null,
                priority = 0,
                services = persistentListOf(),
                maxAttempts = 1,
                isPublic = isPublic,
                isResumable = false,
            )

        fun table(keyRequirement: KeyRequirement) =
            RoutingTable(1, persistentListOf(), persistentListOf(), keyRequirement)

        test("guards against an empty list of workspaces that is taken for a configuration without keys") {
            val table = table(KeyRequirement.KeyOf(persistentListOf()))
            table.isKeyRequired(route(isPublic = false)) shouldBe true
            table.isKeyRequired(route(isPublic = true)) shouldBe false
            table.workspaceByKey("key") shouldBe null
        }

        test("guards against a call that is refused because one of its route's services can't hold its prompt") {
            val services = persistentListOf(WeightedService("small", 9), WeightedService("large", 1))
            val route = route(isPublic = false).copy(services = services)
            val traits = mapOf("small" to 100L, "large" to 1_000L)
            val table =
                RoutingTable(
                    1,
                    persistentListOf(route),
                    traits
                        .map { (name, tokens) -> ForwardingService(name, "/h", 1, EngineTraits(1, tokens, 1)) }
                        .toImmutableList(),
                    KeyRequirement.None,
                )

            fun pick(inputTokens: Int) = route.pickService(0.0) { table.canHold(it, inputTokens) }
            pick(100) shouldBe "small"
            pick(101) shouldBe "large"
            pick(1_001) shouldBe null
        }

        test("guards against a key asked for by a configuration that does not mention workspaces") {
            table(KeyRequirement.None).isKeyRequired(route(isPublic = false)) shouldBe false
        }

        test("guards against a key that is not found in the list of workspaces") {
            val access =
                WorkspaceAccess(
                    WorkspaceId("w"),
                    persistentSetOf(Sha256Hex.of("key")),
                    priority = null,
                    prepaidTokens = 5,
                )
            val table = table(KeyRequirement.KeyOf(persistentListOf(access)))
            table.isKeyRequired(route(isPublic = false)) shouldBe true
            table.workspaceByKey("key") shouldBe access
            table.workspace("w") shouldBe access
        }
    })
