package io.limpetfold.measure.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import java.util.UUID
import kotlin.io.path.writeText

/** Calls the fleet as an application would: a streamed plan through one router, one booking through two others. */
internal class DemoCallCommand : CliktCommand(name = "call") {
    private val routers by option(
        "--router",
        help = "address of a router's listener for callers, host:port",
    ).multiple(required = true)
    private val platform by option("--platform", help = "address of the object API, host:port").required()
    private val workspace by option("--workspace").required()
    private val key by option("--key", help = "API key of the workspace").required()
    private val outcome by option(
        "--outcome",
        help = "file for the usage and the booking key that the callers received; read by verify",
    ).path().required()
    private val http = JdkHttp()

    override fun run() {
        val settledBefore = Ledger.read(http, platform, workspace).settledTokens
        echo("ledger before: ${Ledger.read(http, platform, workspace)}")
        val plan = streamPlan()
        val idempotencyKey = "demo-" + UUID.randomUUID()
        val first = book(routers[1 % routers.size], idempotencyKey)
        val second = book(routers[2 % routers.size], idempotencyKey)
        val isSame = first == second
        echo("booking through router 2: $first")
        echo("same key through router 3: $second")
        echo("ledger while routers run: ${Ledger.read(http, platform, workspace)}")
        outcome.writeText(
            Json.encodeToString(
                DemoOutcome.serializer(),
                DemoOutcome(workspace, settledBefore, plan.totalTokens, idempotencyKey),
            ),
        )
        if (!plan.isComplete || !isSame) {
            echo("FAILED: wholeAnswer=${plan.isComplete} sameBooking=$isSame", err = true)
            throw ProgramResult(1)
        }
    }

    private fun streamPlan(): StreamedResponse {
        val body =
            """{"model":"jezik","stream":true,"max_tokens":40,
               "messages":[{"role":"user","content":"Draft a visit plan for Trubarjeva 12: oven serviced twice, door code changed."}]}"""
        val response = http.post("http://${routers[0]}/v1/chat/completions", body, "Authorization" to "Bearer $key")
        check(response.statusCode() == OK) {
            "the router refused the plan: HTTP status ${response.statusCode()} ${response.body()}"
        }
        val plan = StreamedResponse.parse(response.body())
        val preview = plan.text.take(PREVIEW_CHARS)
        echo("plan through router 1: \"$preview\" tokens=${plan.totalTokens} whole=${plan.isComplete}")
        return plan
    }

    private fun book(
        router: String,
        idempotencyKey: String,
    ): String {
        val body = """{"building":"Trubarjeva 12","slot":"2026-12-07T08:00"}"""
        val response =
            http.post(
                "http://$router/bookings",
                body,
                "Authorization" to "Bearer $key",
                "Idempotency-Key" to idempotencyKey,
            )
        return "${response.statusCode()} ${response.body()}"
    }

    private companion object {
        const val OK = 200
        const val PREVIEW_CHARS = 60
    }
}
