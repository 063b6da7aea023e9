package io.limpetfold.ctl.explain

import com.github.ajalt.clikt.parameters.arguments.argument
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Prints the traces of one request, read from the routers that handled it. */
internal class ExplainCommand : SessionCommand("explain", "Shows what happened to a request, by its X-Request-Id.") {
    private val requestId by argument(
        "REQUEST-ID",
        help = "the X-Request-Id that the caller sent or received in the response",
    )

    override suspend fun run(session: CtlSession) {
        if (session.settings.routers.isEmpty()) {
            fail(
                ExitCode.INVALID_INPUT,
                "the settings list no routers; add the addresses of their operators' ports",
            )
        }
        if (!REQUEST_ID.matches(
                requestId,
            )
        ) {
            fail(
                ExitCode.INVALID_INPUT,
                "'$requestId' is not a request id; use 1 to 100 letters, digits, '.', '_' or '-'",
            )
        }
        val responses = session.routers.getAll("/requests/$requestId")
        val found =
            responses.flatMap { response ->
                response.body
                    ?.let { LENIENT.decodeFromString(ListSerializer(Trace.serializer()), it) }
                    .orEmpty()
                    .map { Explanation(response.router.toString(), it) }
            }
        val failed = responses.filter { it.failure != null }
        failed.forEach { printProgress("router ${it.router} ${it.failure}; its traces are missing here") }
        if (found.isEmpty()) {
            val who = if (failed.isEmpty()) "no router" else "no router that responded"
            fail(ExitCode.NOT_FOUND, "$who knows request $requestId; each router keeps its last 2,000 requests")
        }
        show(found, ListSerializer(Explanation.serializer()), ::text)
    }

    private fun text(found: List<Explanation>): String =
        found.joinToString("\n") { explanation ->
            val trace = explanation.trace
            val head =
                "router ${explanation.router}: workspace=${trace.workspace} route=${trace.route} startedAt=${trace.startedAt}"
            (listOf(head) + trace.events.map { "  +${it.atMillis} ms  ${it.text}" }).joinToString("\n")
        }

    @Serializable
    private data class Explanation(
        val router: String,
        val trace: Trace,
    )

    @Serializable
    private data class Trace(
        val workspace: String,
        val requestId: String,
        val route: String,
        val startedAt: String,
        val events: List<Event>,
    )

    @Serializable
    private data class Event(
        val atMillis: Long,
        val text: String,
    )

    private companion object {
        val REQUEST_ID = Regex("[A-Za-z0-9._-]{1,100}")
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
