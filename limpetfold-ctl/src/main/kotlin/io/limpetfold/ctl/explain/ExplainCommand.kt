package io.limpetfold.ctl.explain

import com.github.ajalt.clikt.parameters.arguments.argument
import io.limpetfold.ctl.CtlSession
import io.limpetfold.ctl.ExitCode
import io.limpetfold.ctl.SessionCommand
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** Tells what happened to one request, from the routers that handled it. */
internal class ExplainCommand : SessionCommand("explain", "Tells what happened to a request, by its X-Request-Id.") {
    private val requestId by argument("REQUEST-ID", help = "the X-Request-Id that the caller sent or got with the answer")

    override suspend fun run(session: CtlSession) {
        if (session.settings.routers.isEmpty()) fail(ExitCode.INVALID_INPUT, "the settings name no routers; add their operators' ports")
        if (!IDENTITY.matches(requestId)) fail(ExitCode.INVALID_INPUT, "'$requestId' is no request identity")
        val replies = session.routers.getAll("/requests/$requestId")
        val found =
            replies.flatMap { reply ->
                reply.body
                    ?.let { LENIENT.decodeFromString(ListSerializer(Trace.serializer()), it) }
                    .orEmpty()
                    .map { Explanation(reply.router.toString(), it) }
            }
        val silent = replies.filter { it.failure != null }
        silent.forEach { progress("router ${it.router} ${it.failure}; what it knows is missing here") }
        if (found.isEmpty()) {
            val who = if (silent.isEmpty()) "no router" else "no router that answered"
            fail(ExitCode.NOT_FOUND, "$who knows request $requestId; each router keeps its last 2,000 requests")
        }
        show(found, ListSerializer(Explanation.serializer()), ::text)
    }

    private fun text(found: List<Explanation>): String =
        found.joinToString("\n") { explanation ->
            val trace = explanation.trace
            val head = "router ${explanation.router}: workspace=${trace.workspace} route=${trace.route} startedAt=${trace.startedAt}"
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
        val IDENTITY = Regex("[A-Za-z0-9._-]{1,100}")
        val LENIENT = Json { ignoreUnknownKeys = true }
    }
}
