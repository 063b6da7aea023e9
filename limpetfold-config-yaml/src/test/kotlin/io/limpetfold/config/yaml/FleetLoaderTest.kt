package io.limpetfold.config.yaml

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.config.FleetConfig

class FleetLoaderTest :
    FunSpec({
        test(
            "guards against a problem that hides others: all problems of all files are reported at once, with line and remedy",
        ) {
            val problems =
                FleetLoader()
                    .load(
                        listOf(INVALID, DUPLICATE, WORKSPACES, MALFORMED, UNKNOWN_KIND),
                    ).getError()
                    .orEmpty()

            problems.map { "${it.file}:${it.line} ${it.field} ${it.message}" } shouldBe
                listOf(
                    "a.yaml:2 kind has the value 'modle'",
                    "a.yaml:3 versions[0].maxInFlightPerEndpoint is missing",
                    "a.yaml:6 routes[0].pathPrefix has the value 'bookings/'",
                    "a.yaml:7 routes[0].activeVersion refers to an unknown version of termini ('2')",
                    "a.yaml:8 routes[0].requestTimout is an unknown key",
                    "a.yaml:9 routes[0].idleTimeout has the value '30'",
                    "a.yaml:10 routes[0].maxRequestBytes has the value '64kb'",
                    "a.yaml:12 routes[0].queue.maxRequests has the value 'many'",
                    "a.yaml:13 routes[0].queue.maxWait has the value '9m'",
                    "a.yaml:14 routes[0].retries has no value",
                    "b.yaml:1 service repeats the service 'termini' of a.yaml:1",
                    "b.yaml:5 routes[0].route repeats the route 'bookings' of a.yaml:5",
                    "w.yaml:1 maxRouters has the value '0'",
                    "w.yaml:3 workspaces[0].keyHashes[0] has the value 'secret'",
                    "w.yaml:5 workspaces[1].keyHashes is missing",
                    "w.yaml:5 workspaces[1].workspace repeats the workspace 'dom' of w.yaml:3",
                    "malformed.yaml:2  Duplicate key 'service'. It was previously given at line 1, column 1.",
                    "unknown.yaml:1  is neither a service file nor the workspaces file",
                )
            problems.first { it.field.endsWith("idleTimeout") }.toString() shouldBe
                "a.yaml:9: routes[0].idleTimeout: has the value '30'; set it to a duration such as 250ms, 18s or 5m"
            problems.none { it.remedy.isBlank() } shouldBe true
        }

        test("guards against a program that starts with an invalid settings file or without one") {
            val loader = SettingsLoader(WorkspacesFile.serializer())

            loader.load(SourceFile("w.yaml", "maxRouters: 2")).getError()?.map { it.toString() } shouldBe
                listOf("w.yaml:1: workspaces: is missing; set it to a list")
            loader
                .load(
                    java.nio.file.Path
                        .of("/no/such.yaml"),
                ).getError()
                ?.map { it.toString() } shouldBe
                listOf("/no/such.yaml: can't be read (NoSuchFileException); check the path and its permissions")
            loader.load(SourceFile("w.yaml", "maxRouters: 2\nworkspaces: []")).get()?.maxRouters shouldBe 2
        }

        for (example in listOf("oven-service", "bonsaedae")) {
            test("guards against an example that no longer loads: $example") {
                val loaded = FleetLoader().load(RepositoryFiles.exampleFiles(example))

                loaded.getError().orEmpty() shouldBe emptyList()
                val config: FleetConfig? = loaded.get()
                config?.problems() shouldBe emptyList()
                config?.services?.size shouldBe 2
                config?.workspaces?.size shouldBe 10
                config?.workspaces?.map { config.workspaceByKey("demo-key-${it.workspace}") } shouldBe
                    config?.workspaces
            }
        }
    }) {
    private companion object {
        val INVALID =
            SourceFile(
                "a.yaml",
                """
                service: termini
                kind: modle
                versions: [{version: 1}]
                routes:
                  - route: bookings
                    pathPrefix: bookings/
                    activeVersion: 2
                    requestTimout: 20s
                    idleTimeout: 30
                    maxRequestBytes: 64kb
                    queue:
                      maxRequests: many
                      maxWait: 9m
                    retries:
                """.trimIndent(),
            )
        val DUPLICATE =
            SourceFile(
                "b.yaml",
                """
                service: termini
                kind: plain
                versions: [{version: 1, maxInFlightPerEndpoint: 8}]
                routes:
                  - route: bookings
                    pathPrefix: /slots
                    activeVersion: 1
                """.trimIndent(),
            )
        val WORKSPACES =
            SourceFile(
                "w.yaml",
                """
                maxRouters: 0
                workspaces:
                  - {workspace: dom, keyHashes: [secret]}
                  # Repeats the name of the first workspace.
                  - {workspace: dom}
                """.trimIndent(),
            )
        val MALFORMED = SourceFile("malformed.yaml", "service: a\nservice: b")
        val UNKNOWN_KIND = SourceFile("unknown.yaml", "name: x")
    }
}
