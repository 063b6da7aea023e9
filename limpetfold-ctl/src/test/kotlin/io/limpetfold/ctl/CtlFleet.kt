package io.limpetfold.ctl

import com.github.ajalt.clikt.command.test
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.limpetfold.budget.BudgetLedger
import io.limpetfold.budget.BudgetLedgerStore
import io.limpetfold.budget.HolderEntry
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.RouterStatus
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.ServiceVersion
import io.limpetfold.config.WorkspaceConfig
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.FreePorts
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.KSerializer
import java.nio.file.Files
import kotlin.io.path.deleteExisting
import kotlin.io.path.writeText

/** A fleet in memory; its routers' operators' ports listen on loopback. */
internal class CtlFleet : AutoCloseable {
    val store = FakeObjectStore()
    val clock = TestClock()
    val routers = mutableListOf<HostPort>()
    private val loops = HttpEventLoops(threads = 1)
    private val client = UpstreamClient(UpstreamSettings(), loops, BufferBudget())
    private val servers = mutableListOf<HttpServer>()
    private val settings = Files.createTempFile("ctl", ".yaml")
    private val directory =
        InstanceDirectory {
            Ok(
                persistentListOf(
                    ListedInstance(
                        InstanceId("r1"),
                        ListedInstance.ROUTER_SERVICE,
                        VersionId("1"),
                        ZoneId("vic"),
                        "127.0.0.1",
                        1,
                    ),
                    ListedInstance(
                        InstanceId("e1"),
                        "jezik",
                        VersionId("1"),
                        ZoneId("vic"),
                        "127.0.0.1",
                        2,
                        isLeaving = true,
                    ),
                ),
            )
        }

    fun program(objects: ObjectStore = store) =
        CtlProgram { CtlSession(it, objects, directory, RouterClient(client, routers, KEY), clock) }

    suspend fun run(
        vararg args: String,
        operator: String = "ana",
        objects: ObjectStore = store,
    ): CliktCommandTestResult {
        settings.writeText(
            "platform: 127.0.0.1:1\noperator: $operator\nrouters: [${routers.joinToString { "\"$it\"" }}]\n",
        )
        return program(objects).test(listOf("--settings", settings.toString()) + args)
    }

    /** Adds a router that responds to each path with the status and the body from [respond]. */
    fun addRouter(respond: (String) -> Pair<Int, String>) {
        val server =
            HttpServer(HttpServerSettings(), loops, BufferBudget(), { exchange ->
                val isKnown = exchange.head.headers["Authorization"] == "Bearer $KEY"
                val (status, body) = if (isKnown) respond(exchange.head.path) else 401 to ""
                exchange.respond(status, body = body.encodeToByteArray())
            }).start()
        servers += server
        routers += server.address
    }

    /** Adds the address of a router where nothing listens. */
    fun addUnreachableRouter() {
        routers += HostPort("127.0.0.1", FreePorts.next())
    }

    suspend fun <T> write(
        key: ObjectKey,
        serializer: KSerializer<T>,
        value: T,
    ) {
        val version = store.get(key).get()?.version ?: ObjectVersion.NONE
        store.put(key, TypedObject.JSON.encodeToString(serializer, value), version)
    }

    suspend fun publish() = write(FleetConfig.KEY, FleetConfig.serializer(), CONFIG)

    /** Writes a budget of which the ended incarnation `r1@1` holds 100 tokens and has reported 10 as spent. */
    suspend fun writeBudget() {
        val holders =
            persistentMapOf(
                "r1@1" to HolderEntry(grantedTokens = 100, acquiredTokens = 100, reportedSpentTokens = 10),
            )
        write(
            BudgetLedgerStore.keyOf(WorkspaceId("sola")),
            BudgetLedger.serializer(),
            BudgetLedger(paidTokens = 1_000, holders = holders),
        )
        val status = RouterStatus(InstanceId("r1"), 2, 1, ZoneId("vic"), false, clock.instant())
        write(RouterStatus.key(status.instance), RouterStatus.serializer(), status)
    }

    suspend fun ledger() = checkNotNull(BudgetLedgerStore(store).read(WorkspaceId("sola")).get())

    override fun close() {
        servers.forEach { it.close() }
        client.close()
        loops.close()
        settings.deleteExisting()
    }

    companion object {
        const val KEY = "operators-key"
        val CONFIG =
            FleetConfig(
                1,
                maxRouters = 4,
                services =
                    persistentListOf(
                        ServiceConfig(
                            "jezik",
                            ServiceKind.MODEL,
                            versions =
                                persistentListOf(
                                    ServiceVersion(VersionId("1"), 8),
                                    ServiceVersion(VersionId("2"), 8),
                                ),
                        ),
                    ),
                routes = persistentListOf(RouteConfig(RouteId("chat"), "/chat", "jezik", VersionId("1"))),
                workspaces = persistentListOf(WorkspaceConfig(WorkspaceId("sola"), persistentListOf("0".repeat(64)))),
            )
    }
}
