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

/** Calls the fleet as a crew's application would: a streamed plan through one router, a booking through two others. */
internal class DemoCallCommand : CliktCommand(name = "call") {
    private val routers by option("--router", help = "callers' address of a router, host:port").multiple(required = true)
    private val platform by option("--platform", help = "address of the object API, host:port").required()
    private val workspace by option("--workspace").required()
    private val key by option("--key", help = "the workspace's key").required()
    private val outcome by option("--outcome", help = "file for what the callers were told").path().required()
    private val http = PlainHttp()

    override fun run() {
        val settledBefore = Ledger.read(http, platform, workspace).settledTokens
        echo("ledger before: ${Ledger.read(http, platform, workspace)}")
        val answer = streamPlan()
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
                DemoOutcome(workspace, settledBefore, answer.totalTokens, idempotencyKey),
            ),
        )
        if (!answer.isWhole || !isSame) {
            echo("FAILED: wholeAnswer=${answer.isWhole} sameBooking=$isSame", err = true)
            throw ProgramResult(1)
        }
    }

    private fun streamPlan(): StreamedAnswer {
        val body =
            """{"model":"jezik","stream":true,"max_tokens":40,
               "messages":[{"role":"user","content":"Draft a visit plan for Trubarjeva 12: oven serviced twice, door code changed."}]}"""
        val response = http.post("http://${routers[0]}/v1/chat/completions", body, "Authorization" to "Bearer $key")
        check(response.statusCode() == OK) { "the plan was refused: ${response.statusCode()} ${response.body()}" }
        val answer = StreamedAnswer.parse(response.body())
        echo("plan through router 1: \"${answer.text.take(PREVIEW_CHARS)}\" tokens=${answer.totalTokens} whole=${answer.isWhole}")
        return answer
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
