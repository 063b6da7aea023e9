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
    /** The state of a stream. */
    enum class State { RUNNING, FINISHED, CANCELLED, FAILED }

    private val events = mutableListOf<String>()
    private val progress = MutableStateFlow(0)
    private var readers = 0

    /** The coroutine that generates the tokens. */
    @Volatile
    var job: Job? = null

    @Volatile
    var state = State.RUNNING
        private set

    @Volatile
    var generatedTokens = 0
        private set

    /** Whether the fault of the engine's version applies to this request. */
    @Volatile
    var isFaulty = false

    /** Since when the stream has no reader, or null while it has one. */
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

    /**
     * Counts one token and adds its [event].
     *
     * Does neither and returns false once the stream has ended, as its usage may have been reported by then.
     */
    fun addToken(event: (EngineStream) -> String): Boolean {
        synchronized(events) {
            if (state != State.RUNNING) return false
            generatedTokens++
            events += event(this)
        }
        progress.value++
        return true
    }

    /** Ends the stream in [finalState]; returns false when it has ended before. */
    fun end(finalState: State): Boolean {
        synchronized(events) {
            if (state != State.RUNNING) return false
            state = finalState
            endedAt = TimeSource.Monotonic.markNow()
        }
        progress.value++
        return true
    }

    /** Waits for the event with [index] and returns it, or null when the stream ends without it. */
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

    /** Waits until the stream has ended. */
    suspend fun awaitEnd() {
        progress.first { state != State.RUNNING }
    }

    /** Runs [block] as a reader, so that the stream does not count as abandoned meanwhile. */
    suspend fun <T> withReader(block: suspend () -> T): T {
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
