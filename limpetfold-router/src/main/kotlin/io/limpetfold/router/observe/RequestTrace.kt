package io.limpetfold.router.observe

import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.WorkspaceId
import kotlinx.serialization.Serializable
import java.time.Instant
import kotlin.time.TimeMark

/**
 * The events of one request, for the operators' `explain` command; contains no content of the request.
 *
 * Safe for concurrent use.
 */
internal class RequestTrace(
    val workspace: WorkspaceId,
    val request: RequestId,
    val route: RouteId,
    private val startedAt: Instant,
    private val startMark: TimeMark,
) {
    private val events = mutableListOf<Event>()

    /**
     * Adds an event. Events after the first [MAX_EVENTS] are dropped, to bound the memory of a request with many
     * retries.
     */
    fun add(text: String) {
        synchronized(events) {
            if (events.size < MAX_EVENTS) events += Event(startMark.elapsedNow().inWholeMilliseconds, text)
        }
    }

    /** Returns a snapshot for the operators' port. */
    fun toView(): View =
        synchronized(events) {
            View(workspace.value, request.value, route.value, startedAt.toString(), events.toList())
        }

    /** One event, [atMillis] after the request arrived. */
    @Serializable
    data class Event(
        val atMillis: Long,
        val text: String,
    )

    /** The JSON that `explain` reads. */
    @Serializable
    data class View(
        val workspace: String,
        val requestId: String,
        val route: String,
        val startedAt: String,
        val events: List<Event>,
    )

    private companion object {
        const val MAX_EVENTS = 64
    }
}
