package io.limpetfold.measure.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlin.io.path.readText

/** Checks after the routers have stopped that the bill matches the reported usage and the booking took effect once. */
internal class DemoVerifyCommand : CliktCommand(name = "verify") {
    private val platform by option("--platform", help = "address of the object API, host:port").required()
    private val services by option(
        "--service",
        help = "address of a booking service, host:port",
    ).multiple(required = true)
    private val outcome by option("--outcome", help = "file written by the call command").path().required()
    private val http = JdkHttp()

    override fun run() {
        val expected = Json.decodeFromString(DemoOutcome.serializer(), outcome.readText())
        val ledger = Ledger.read(http, platform, expected.workspace)
        echo("ledger after: $ledger")
        val effects = services.sumOf { effects(it, expected.idempotencyKey) }
        val billed = ledger.settledTokens - expected.settledTokensBefore
        echo(
            "billed tokens: $billed, usage told to callers: ${expected.reportedTokens}, effects of the booking: $effects",
        )
        val isExact = billed == expected.reportedTokens && ledger.grantedTokens == 0L && effects == 1L
        if (!isExact) {
            echo(
                "FAILED: billed tokens differ from the reported usage, a grant was not returned, or the booking did not take effect exactly once",
                err = true,
            )
            throw ProgramResult(1)
        }
        echo("OK: whole answers, exact bill, one booking")
    }

    private fun effects(
        service: String,
        key: String,
    ): Long {
        val body = http.get("http://$service/admin/effects").body()
        val byKey = Json.parseToJsonElement(body).jsonObject["byKey"]?.jsonObject
        return byKey?.get(key)?.jsonPrimitive?.long ?: 0
    }
}
