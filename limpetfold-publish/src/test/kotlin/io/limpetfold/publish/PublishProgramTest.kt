package io.limpetfold.publish

import com.github.ajalt.clikt.command.test
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.limpetfold.config.ConfigPublisher
import io.limpetfold.config.RouterStatus
import io.limpetfold.config.yaml.SettingsPage
import io.limpetfold.core.InstanceId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.FakeObjectStore
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.toImmutableList

class PublishProgramTest :
    FunSpec({
        val directory = tempdir()
        directory.resolve("termini").mkdir()
        val file = directory.resolve("termini/limpetfold.yaml").apply { writeText(SERVICE) }
        directory.resolve("limpetfold.yaml").writeText(WORKSPACES)
        val settings = tempfile().apply { writeText("platform: 127.0.0.1:1\nauthor: ana\nconfirmWithin: 10s") }
        val defaultArgs = listOf("--settings", settings.path, directory.path)

        test("guards against acceptance of an invalid file, and against wrong exit codes of the command line") {
            val fleet = Fleet()
            val invalid = tempfile().apply { writeText(SERVICE.replace("8", "many")) }

            val result = fleet.run("check", invalid.path, directory.path)

            result.statusCode shouldBe 2
            result.stderr shouldContain "${invalid.path}:3: versions[0].maxInFlightPerEndpoint: has the value 'many'"
            fleet.run("check", directory.path).statusCode shouldBe 0
            fleet.run("check", "/no/such/directory").statusCode shouldBe 2
            fleet.program().execute(listOf("check", "--unknown")) shouldBe 2
            fleet.program().execute(listOf("--help")) shouldBe 0
        }

        test("guards against a publication that is reported as confirmed before every router has confirmed it") {
            val fleet = Fleet()
            fleet.report("r2", generation = 0)
            fleet.run("publish", *defaultArgs.toTypedArray()).statusCode shouldBe 4
            fleet.report("r1", generation = 1)

            val early = fleet.run("publish", *defaultArgs.toTypedArray())
            early.statusCode shouldBe 4
            early.stderr shouldContain "not confirmed: r2 (generation 0, reported"
            early.stderr shouldContain "not confirmed: r3 (no report, zone z)"
            early.stderr shouldContain "2 of 3 routers"

            fleet.report("r2", generation = 1)
            fleet.report("r3", generation = 1)
            val again = fleet.run("publish", *defaultArgs.toTypedArray())
            again.statusCode shouldBe 0
            again.stdout shouldContain "generation 1 has this content already"
            again.stdout shouldContain "generation 1 is in force in 3 routers"
        }

        test("guards against a publication that overwrites another one published since the diff") {
            val fleet = Fleet()
            fleet.run("publish", *defaultArgs.toTypedArray())
            val other = ConfigPublisher(fleet.store, fleet.clock)
            val current = other.read().get()
            other.publish(checkNotNull(current).copy(maxRouters = 3), 1, "bojan")

            val result = fleet.run("publish", "--compared-with", "1", *defaultArgs.toTypedArray())

            result.statusCode shouldBe 3
            result.stderr shouldContain "generation 2 of bojan, published at 2026-01-01T"
            fleet.run("diff", *defaultArgs.toTypedArray()).stdout shouldContain "~ maxRouters: 3 -> 4"
        }

        test("guards against an outage that is reported as success, before and after the write") {
            val unavailable = Fleet { StoreFault.UNAVAILABLE }
            unavailable.run("publish", *defaultArgs.toTypedArray()).statusCode shouldBe 5
            var isWritten = false
            val unavailableAfterWrite =
                Fleet {
                    isWritten = isWritten || it is StoreCall.Put
                    if (it is StoreCall.List && isWritten) StoreFault.UNAVAILABLE else StoreFault.NONE
                }
            val result = unavailableAfterWrite.run("publish", *defaultArgs.toTypedArray())
            result.statusCode shouldBe 5
            result.stderr shouldContain "generation 1 is published; it is unknown which routers have it"
        }

        test("guards against a generation number that no router accepts, after the platform has lost its data") {
            val fleet = Fleet()
            listOf("r1", "r2", "r3").forEach { fleet.report(it, generation = 57) }

            val result = fleet.run("publish", *defaultArgs.toTypedArray())

            result.stdout shouldContain "published generation 58"
            result.statusCode shouldBe 4
        }

        test(
            "guards against a check of the settings that stops at the first problem, and against an incomplete settings page or help",
        ) {
            val invalid = tempfile().apply { writeText("author: [a]\ncallTimeout: 5\nconfirmWithin: 1h\nwait: 1s") }
            val result = Fleet().run("publish", "--settings", invalid.path, directory.path)
            result.statusCode shouldBe 2
            listOf(
                "1: author:",
                "1: platform: is missing",
                "2: callTimeout:",
                "3: confirmWithin:",
                "4: wait: is an unknown key",
            ).forEach { result.stderr shouldContain "${invalid.path}:$it" }
            SettingsPage.documentedRows("limpetfold-publish") shouldBe
                SettingsPage.expectedRows(PublishSettings.serializer(), """{"platform":"a:1"}""")
            Fleet().program().execute(listOf("--version")) shouldBe 0
            Fleet().run("publish", "--help").stdout shouldContain "The generation that 'diff' showed"
        }

        test("guards against a file that is read twice when its directory is named too") {
            FileCollector.collect(listOf(directory.toPath(), file.toPath())).files.size shouldBe 2
        }
    }) {
    private class Fleet(
        faults: (StoreCall) -> StoreFault = { StoreFault.NONE },
    ) {
        val clock = TestClock()
        val store = FakeObjectStore()
        private val routers =
            listOf("r1", "r2", "r3").map {
                ListedInstance(
                    InstanceId(it),
                    ListedInstance.ROUTER_SERVICE,
                    VersionId("1"),
                    ZoneId("z"),
                    "127.0.0.1",
                    1,
                )
            } + ListedInstance(InstanceId("e1"), "termini", VersionId("1"), ZoneId("z"), "127.0.0.1", 1)
        private val platform = Platform(store.withFaults(faults), InstanceDirectory { Ok(routers.toImmutableList()) })

        fun program() =
            PublishProgram({ platform }) { ConfirmationReader(it, clock, clock.monotonic, pause = clock::advance) }

        suspend fun run(vararg args: String) = program().test(args.toList())

        suspend fun report(
            instance: String,
            generation: Long,
        ) {
            val status = RouterStatus(InstanceId(instance), 1, generation, ZoneId("z"), false, clock.instant())
            val key = RouterStatus.key(status.instance)
            val version = store.get(key).get()?.version ?: ObjectVersion.NONE
            store.put(key, TypedObject.JSON.encodeToString(RouterStatus.serializer(), status), version)
        }
    }

    private companion object {
        const val SERVICE = """service: termini
kind: plain
versions: [{version: 1, maxInFlightPerEndpoint: 8}]
routes:
  - {route: bookings, pathPrefix: /bookings, activeVersion: 1}
"""
        const val WORKSPACES = "maxRouters: 4\nworkspaces: []\n"
    }
}
