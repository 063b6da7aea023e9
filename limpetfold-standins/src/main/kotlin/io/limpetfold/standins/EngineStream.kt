package io.limpetfold.standins

import kotlinx.coroutines.Job
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** One request of the engine stand-in and the events it has generated. */
internal class EngineStream(
    val requestId: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val priority: Int,
) {
    /** How a stream stands. */
    enum class State { RUNNING, FINISHED, CANCELLED, FAILED }

    private val events = mutableListOf<String>()
    private val progress = MutableStateFlow(0)
    private var readers = 0

    /** The coroutine that generates. */
    @Volatile
    var job: Job? = null

    @Volatile
    var state = State.RUNNING
        private set

    @Volatile
    var generatedTokens = 0
        private set

    /** Whether the fault of the engine's version shows for this request. */
    @Volatile
    var isFaulty = false

    /** Since when nobody reads, or null while somebody does. */
    @Volatile
    var unreadSince: TimeMark? = TimeSource.Monotonic.markNow()
        private set

    @Volatile
    var endedAt: TimeMark? = null
        private set

    fun add(event: String) {
        synchronized(events) { events += event }
        progress.value++
    }

    /** Counts one token and adds its [event]; returns false, without either, once the stream has ended and its usage may have been told. */
    fun addToken(event: (EngineStream) -> String): Boolean {
        synchronized(events) {
            if (state != State.RUNNING) return false
            generatedTokens++
            events += event(this)
        }
        progress.value++
        return true
    }

    /** Ends the stream; returns false when it had ended. */
    fun end(ended: State): Boolean {
        synchronized(events) {
            if (state != State.RUNNING) return false
            state = ended
            endedAt = TimeSource.Monotonic.markNow()
        }
        progress.value++
        return true
    }

    /** Waits for the event with [index] and returns it, or null when the stream has ended before it. */
    suspend fun event(index: Int): String? {
        while (true) {
            val seen = progress.value
            synchronized(events) {
                events.getOrNull(index)?.let { return it }
                if (state != State.RUNNING) return null
            }
            progress.first { it != seen }
        }
    }

    /** Waits for the end. */
    suspend fun awaitEnd() {
        progress.first { state != State.RUNNING }
    }

    /** Runs [block] as a reader, so that the stream does not count as abandoned. */
    suspend fun <T> reading(block: suspend () -> T): T {
        synchronized(events) {
            readers++
            unreadSince = null
        }
        try {
            return block()
        } finally {
            synchronized(events) { if (--readers == 0) unreadSince = TimeSource.Monotonic.markNow() }
        }
    }
}
