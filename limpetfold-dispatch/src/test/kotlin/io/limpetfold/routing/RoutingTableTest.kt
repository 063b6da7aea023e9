package io.limpetfold.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.core.RouteId
import io.limpetfold.core.Sha256Hex
import io.limpetfold.core.WorkspaceId
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
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
