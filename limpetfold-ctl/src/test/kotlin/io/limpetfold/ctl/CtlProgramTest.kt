package io.limpetfold.ctl

import com.github.ajalt.clikt.command.test
import com.github.ajalt.clikt.core.BaseCliktCommand
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.limpetfold.burn.SloBurnBucket
import io.limpetfold.burn.SloBurnRecord
import io.limpetfold.burn.SloBurnSeries
import io.limpetfold.config.RouterStatus
import io.limpetfold.config.yaml.SettingsPage
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.ZoneId
import io.limpetfold.rollout.MoveId
import io.limpetfold.rollout.MovePhase
import io.limpetfold.rollout.MovePlan
import io.limpetfold.rollout.MovePreset
import io.limpetfold.rollout.MoveRecord
import io.limpetfold.rollout.TakeBackReason
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.testing.StoreCall
import io.limpetfold.testing.StoreFault
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.time.Duration
import java.util.concurrent.atomic.AtomicBoolean
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.io.path.deleteIfExists
import kotlin.io.path.readText
import kotlin.io.path.writeText

class CtlProgramTest :
    FunSpec({
        lateinit var fleet: CtlFleet
        beforeTest { fleet = CtlFleet() }
        afterTest { fleet.close() }

        test("guards against a command without a table, with text around its JSON, or that hides an outage") {
            fleet.prepare()
            val commands =
                mapOf(
                    listOf("status") to "router-1|r1 +vic +2 +1 +running",
                    listOf("budget", "show") to "sola +1000 +0 +100 +10 +900 +1",
                    listOf("budget", "show", "sola") to "sola +1000",
                    listOf("budget", "stranded") to "sola +r1@1 +100 +10 +no",
                    listOf("budget", "top-up", "sola", "1", "--id", "2026-01-01/a") to "sola +1001",
                    listOf("move", "status") to "chat +m1 +1 +2 +taken back: by operator bojan +bojan .* none",
                    listOf("move", "status", "chat") to "chat +m1",
                    listOf("move", "watch", "chat") to "chat +m1",
                    listOf("report", "burn") to "chat +sola +5m +10 +5 +0 +50.00 +0.00 +BREACH",
                    listOf("budget", "reclaim", "sola", "r1@1", "--confirm-terminated") to
                        "sola +1001 +40 +0 +0 +961 +0",
                    listOf("explain", "req-1") to "router 127.0.0.1:[0-9]+: workspace=sola route=chat",
                    listOf("move", "start", "chat", "--to", "2", "--within", "10m", "--id", "m2") to
                        "chat +m2 +1 +2 +running .step 1 of 4.",
                    listOf("move", "take-back", "chat") to "chat +m2 +1 +2 +taken back: by operator ana",
                )
            for ((command, row) in commands) {
                withClue(command) {
                    val down =
                        fleet.run(
                            *command.toTypedArray(),
                            objects = fleet.store.withFaults { StoreFault.UNAVAILABLE },
                        )
                    down.statusCode shouldBe if (command.first() == "explain") 0 else 5
                    val table = fleet.run(*command.toTypedArray())
                    table.statusCode shouldBe 0
                    Regex(row).containsMatchIn(table.stdout) shouldBe true
                    if (command.none { it == "take-back" || it == "reclaim" }) {
                        val json = fleet.run(*command.toTypedArray(), "-o", "json")
                        json.statusCode shouldBe 0
                        Json.parseToJsonElement(json.stdout)
                    }
                }
            }
        }

        test("guards against a wrong exit code for input that is invalid or names an unknown object") {
            fleet.run("report", "burn").statusCode shouldBe 4
            fleet.publish()
            val notFound =
                listOf("budget show sola", "move status chat", "move watch chat", "move take-back chat", "report burn")
            notFound
                .dropLast(
                    1,
                ).forEach { withClue(it) { fleet.run(*it.split(' ').toTypedArray()).statusCode shouldBe 4 } }
            fleet.run("budget", "top-up", "sloa", "1", "--id", "2026-01-01/a").statusCode shouldBe 4
            fleet.run("move", "start", "chat", "--to", "3", "--within", "10m").statusCode shouldBe 4
            fleet.run("move", "start", "chta", "--to", "2", "--within", "10m").statusCode shouldBe 4
            val invalid =
                listOf(
                    "move start chat --to 2 --within soon",
                    "move start chat --to 2 --within 10s",
                    "move start chat --to 1 --within 10m",
                    "budget top-up sola 1 --id invoice-7",
                    "budget reclaim sola r1@1",
                    "budget reclaim sola r1 --confirm-terminated",
                    "explain req-1",
                    "report burn --html /no/such/directory/a.html",
                )
            invalid.forEach { withClue(it) { fleet.run(*it.split(' ').toTypedArray()).statusCode shouldBe 2 } }
            fleet.store.writeCount shouldBe 1
            val usage =
                listOf(
                    "budget top-up sola 0 --id 2026-01-01/a",
                    "budget show a/../b",
                    "no-command",
                    "move start chat",
                    "status -o xml",
                )
            usage.forEach { withClue(it) { fleet.program().execute(it.split(' ')) shouldBe 2 } }
            listOf("--help", "--version", "move start --help").forEach {
                fleet.program().execute(it.split(' ')) shouldBe
                    0
            }
        }

        test("guards against a watch that waits forever when no move controller gathers confirmations") {
            fleet.publish()
            fleet.run("move", "start", "chat", "--to", "2", "--within", "10m").statusCode shouldBe 0
            fleet.clock.advance(Duration.ofMinutes(13))

            val result = fleet.run("move", "watch", "chat")
            result.statusCode shouldBe 6
            result.stderr shouldContain "have not confirmed it"
        }

        test("guards against settings whose errors are reported one at a time") {
            val file = Files.createTempFile("ctl", ".yaml")
            file.writeText("plattform: 127.0.0.1:1\noperator: [a]\nrouters: [\"10.0.0.1\", \"10.0.0.2:99999\"]\n")
            val result = fleet.program().test(listOf("--settings", file.toString(), "status"))
            file.deleteIfExists()
            result.statusCode shouldBe 2
            listOf(
                "1: plattform: is an unknown key",
                "1: platform: is missing",
                "2: operator:",
                "3: routers[0]:",
                "3: routers[1]:",
            ).forEach { result.stderr shouldContain "$file:$it" }
            result.stdout shouldBe ""
        }

        test("guards against a settings page that differs from the program") {
            SettingsPage.documentedRows("limpetfold-ctl") shouldBe
                SettingsPage.expectedRows(CtlSettings.serializer(), """{"platform":"a:1"}""")
        }

        test("guards against two operators who both believe that they started the move") {
            fleet.publish()
            val start = arrayOf("move", "start", "chat", "--to", "2", "--within", "10m", "--id")
            val rivalFirst =
                fleet.storeWithRival {
                    fleet.run(*start, "m-bojan", operator = "bojan").statusCode shouldBe
                        0
                }

            val loser = fleet.run(*start, "m-ana", objects = rivalFirst)

            loser.statusCode shouldBe 3
            loser.stderr shouldContain "move m-bojan, started by bojan at 2026-01-01T00:00:00Z"
            loser.stdout shouldBe ""
        }

        test("guards against two operators who both believe that they took the move back") {
            fleet.publish()
            fleet.run("move", "start", "chat", "--to", "2", "--within", "10m", "--id", "m1")
            fleet.clock.advance(Duration.ofSeconds(5))
            val rivalFirst =
                fleet.storeWithRival {
                    fleet.run("move", "take-back", "chat", operator = "bojan").statusCode shouldBe
                        0
                }

            val loser = fleet.run("move", "take-back", "chat", objects = rivalFirst)

            loser.statusCode shouldBe 3
            loser.stderr shouldContain "bojan ended move m1 at 2026-01-01T00:00:05Z: taken back: by operator bojan"
        }

        test("guards against a payment that is added twice") {
            fleet.publish()
            val topUp = arrayOf("budget", "top-up", "sola", "500", "--id", "2026-01-01/invoice-7")
            var isLost = false
            val lossy =
                fleet.store.withFaults {
                    if (it is StoreCall.Put &&
                        !isLost
                    ) {
                        StoreFault.RESPONSE_LOST.also { isLost = true }
                    } else {
                        StoreFault.NONE
                    }
                }
            fleet.run(*topUp, objects = lossy).statusCode shouldBe 0
            fleet.run(*topUp).statusCode shouldBe 0
            fleet.ledger().paidTokens shouldBe 500

            val other = fleet.run("budget", "top-up", "sola", "600", "--id", "2026-01-01/invoice-7")
            other.statusCode shouldBe 3
            fleet.ledger().paidTokens shouldBe 500
        }

        test("guards against a reclaim that frees spent tokens because a router with a higher copy did not respond") {
            fleet.publish()
            fleet.writeBudget()
            val reclaim = arrayOf("budget", "reclaim", "sola", "r1@1", "--confirm-terminated")
            fleet.addRouter { 200 to "40\n" }
            fleet.addUnreachableRouter()
            val refused = fleet.run(*reclaim)
            refused.statusCode shouldBe 3
            refused.stderr shouldContain "did not respond and may hold a copy"
            fleet.routers.removeLast()
            fleet.addRouter { 401 to "" }
            fleet.run(*reclaim).stderr shouldContain "refused operatorsKey"
            fleet
                .ledger()
                .holders
                .getValue("r1@1")
                .isEnded shouldBe false

            fleet.routers.removeLast()
            fleet.addRouter { 404 to "" }
            fleet.run(*reclaim).statusCode shouldBe 0
            fleet.ledger().settledTokens shouldBe 40
            fleet.run(*reclaim).statusCode shouldBe 4
        }

        test("guards against a list of stranded grants without those of a router that crashed and was not replaced") {
            fleet.publish()
            fleet.writeBudget()
            val status = RouterStatus(InstanceId("r1"), 1, 1, ZoneId("vic"), false, fleet.clock.instant())
            fleet.write(RouterStatus.key(status.instance), RouterStatus.serializer(), status)
            fleet.run("budget", "stranded").stdout shouldContain "(none)"
            fleet.clock.advance(Duration.ofMinutes(4))
            fleet.run("budget", "stranded").stdout shouldContain "r1@1"
            fleet.run("status").stdout shouldContain "silent"
        }

        test("guards against a reclaim without any copy that frees tokens which may be spent") {
            fleet.publish()
            fleet.writeBudget()
            fleet.addRouter { 404 to "" }
            fleet.run("budget", "reclaim", "sola", "r1@1", "--confirm-terminated").statusCode shouldBe 0
            fleet.ledger().settledTokens shouldBe 100
        }

        test("guards against an explanation that does not say that a router did not respond") {
            fleet.prepare()
            fleet.addUnreachableRouter()
            val found = fleet.run("explain", "req-1", "-o", "json")
            found.statusCode shouldBe 0
            found.stderr shouldContain "router ${fleet.routers.last()} did not respond"
            Json.parseToJsonElement(found.stdout)
            val unknown = fleet.run("explain", "req-2")
            unknown.statusCode shouldBe 4
            unknown.stderr shouldContain "no router that responded knows"
        }

        test("guards against a burn page that does not parse, loads external resources, or omits a breach or a move") {
            fleet.prepare()
            val page = Files.createTempFile("burn", ".html")
            fleet.run("report", "burn", "--html", page.toString()).statusCode shouldBe 0
            val text = page.readText()
            page.deleteIfExists()

            val document = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(text.byteInputStream())

            document.getElementsByTagName("tr").length shouldBe 7
            text shouldContain "class=\"breach\"><td>chat</td><td>sola</td>"
            text shouldContain ">move to 2</text>"
            text shouldContain ">2 taken back</text>"
            listOf("http", "src=", "href", "url(", "@import", "<script").forEach { text shouldNotContain it }
        }

        test("guards against columns that shift with long names, empty cells or line breaks") {
            val long = "a".repeat(63)
            Table.format(listOf("A", "B"), listOf(listOf(long, "1"), listOf("", "x\ny"))) shouldBe
                "A" + " ".repeat(64) + "B\n$long  1\n-" + " ".repeat(64) + "x?y"
            Table.format(listOf("A", "B"), emptyList()) shouldBe "A  B\n(none)"
        }

        test("guards against a stack trace when a command reads a stored object of a newer program") {
            fleet.store.put(ObjectKey("budget/sola"), "[]", ObjectVersion.NONE)
            val result = fleet.run("budget", "show")
            result.statusCode shouldBe 5
            result.stderr shouldContain "object budget/sola does not decode"
        }

        test("guards against a completion script without the commands, and options without a help text") {
            listOf("bash", "zsh", "fish").forEach { shell ->
                val script = fleet.run("generate-completion", shell)
                script.statusCode shouldBe 0
                listOf("stranded", "--confirm-terminated", "take-back").forEach {
                    script.stdout shouldContain
                        it.removePrefix("--")
                }
            }
            val commands = paths(fleet.program())
            commands.size shouldBe 16
            commands.forEach {
                withClue(
                    it,
                ) { undocumented(fleet.run(*it.toTypedArray(), "--help").stdout).shouldBeEmpty() }
            }
        }
    }) {
    private companion object {
        /** Publishes the configuration, stores a budget, a move and burn counts, and adds a router that has `req-1`. */
        suspend fun CtlFleet.prepare() {
            publish()
            writeBudget()
            addRouter { target ->
                when (target) {
                    "/requests/req-1" -> 200 to TRACE
                    "/spent/sola/r1@1" -> 200 to "40\n"
                    else -> 404 to "[]"
                }
            }
            val now = clock.millis()
            val move =
                MoveRecord(
                    MoveId("m1"),
                    RouteId("chat"),
                    VersionId("1"),
                    VersionId("2"),
                    "bojan",
                    now - 60_000,
                    now + 600_000,
                    MovePlan.create(MovePreset.AVAILABILITY, Duration.ofMinutes(11)),
                    MovePhase.TakenBack(TakeBackReason.Operator("bojan")),
                    "bojan",
                    now,
                    unconfirmed = emptyList<InstanceId>(),
                )
            write(MoveRecord.key(move.route), MoveRecord.serializer(), move)
            val buckets = listOf(SloBurnBucket(clock.instant().epochSecond, total = 10, failed = 5))
            write(
                SloBurnRecord.key("r1"),
                SloBurnRecord.serializer(),
                SloBurnRecord("r1", listOf(SloBurnSeries("chat", "sola", buckets))),
            )
        }

        /** Returns a view of the store that runs [rival] before its first write. */
        fun CtlFleet.storeWithRival(rival: suspend () -> Unit): ObjectStore {
            val isFirst = AtomicBoolean(true)
            return store.withFaults {
                if (it is StoreCall.Put && isFirst.getAndSet(false)) runBlocking { rival() }
                StoreFault.NONE
            }
        }

        /** Returns the paths of [command] and of all its sub-commands. */
        fun paths(command: BaseCliktCommand<*>): List<List<String>> =
            listOf(emptyList<String>()) +
                command.registeredSubcommands().flatMap { subcommand ->
                    paths(subcommand).map { listOf(subcommand.commandName) + it }
                }

        /** Returns the options and arguments of a help text that have no explanation beside or below them. */
        fun undocumented(help: String): List<String> {
            val lines = help.substringAfter("Options:").substringBefore("Commands:").lines()
            return lines.indices
                .filter { lines[it].startsWith("  ") && !lines[it].startsWith("    ") }
                .filterNot {
                    Regex("\\S {2,}\\S").containsMatchIn(lines[it]) ||
                        lines.getOrNull(it + 1).orEmpty().startsWith("        ")
                }.map { lines[it].trim() }
        }

        const val TRACE =
            """[{"workspace":"sola","requestId":"req-1","route":"chat","startedAt":"2026-01-01T00:00:00Z",
            "events":[{"atMillis":1,"text":"answered status=200"}],"added":"by a newer router"}]"""
    }
}
