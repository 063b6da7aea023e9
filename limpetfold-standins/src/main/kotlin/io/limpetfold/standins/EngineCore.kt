package io.limpetfold.standins

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.ArrayDeque
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The engine's behaviour without its HTTP interface: batch, token rate, overload and faults. */
internal class EngineCore(
    initial: EngineStandinSettings,
    private val scope: CoroutineScope,
) {
    private class LoadSample(
        val at: TimeMark,
        val running: Int,
        val waiting: Int,
    )

    private val batch = EngineBatch()
    private val streams = ConcurrentHashMap<String, EngineStream>()
    private val rejections = ArrayDeque<TimeMark>()
    private val loadSamples = ArrayDeque<LoadSample>()
    private var settingsChangedAt = TimeSource.Monotonic.markNow()
    private var startedSinceChange = 0
    private var collapsedUntil: TimeMark? = null
    private var stats = EngineStats()

    /** The active settings; a change resets the conditions of the fault. */
    var settings: EngineStandinSettings = initial
        set(value) {
            synchronized(this) {
                field = value
                settingsChangedAt = TimeSource.Monotonic.markNow()
                startedSinceChange = 0
            }
        }

    fun stats(): EngineStats = synchronized(this) { stats.copy(running = batch.running, waiting = batch.waiting) }

    fun find(requestId: String): EngineStream? {
        evictEnded()
        return streams[requestId]
    }

    fun countResumed() = updateStats { it.copy(resumed = it.resumed + 1) }

    /** Returns the numbers of running and waiting requests as they were `loadLagMillis` ago. */
    fun laggedLoad(): Pair<Int, Int> =
        synchronized(this) {
            recordLoad()
            val lag = settings.loadLagMillis.milliseconds
            while (loadSamples.size > 1 && loadSamples.elementAt(1).at.elapsedNow() >= lag) loadSamples.removeFirst()
            loadSamples.first().let { if (it.at.elapsedNow() >= lag) it.running to it.waiting else 0 to 0 }
        }

    /** Accepts an order and returns null, or returns the higher fencing token that makes it stale. */
    fun order(order: EngineOrder): Long? =
        synchronized(this) {
            if (settings.checksFencing && order.fencing < stats.fencing) return stats.fencing
            stats =
                stats.copy(
                    fencing = maxOf(stats.fencing, order.fencing),
                    orders = (stats.orders + order).takeLast(MAX_ORDERS),
                )
            null
        }

    /** Starts a stream; returns null, without starting it, when the engine is overloaded. */
    fun start(stream: EngineStream): EngineStream? {
        evictEnded()
        synchronized(this) {
            val held = batch.running + batch.waiting
            if (collapsedUntil?.hasNotPassedNow() == true || held >= settings.rejectAbove) {
                reject()
                return null
            }
            startedSinceChange++
            stats = stats.copy(started = stats.started + 1, peakHeld = maxOf(stats.peakHeld, held + 1))
        }
        updateRequestCounts(stream) {
            it.copy(
                started = it.started + 1,
                promptTokens =
                    it.promptTokens + stream.promptTokens,
            )
        }
        streams[stream.requestId] = stream
        stream.job = scope.launch { generate(stream) }
        return stream
    }

    /** Whether the fault of the version applies to a new request on [route] with [path]. */
    fun isFaulty(
        route: String,
        path: String,
    ): Boolean {
        val fault = settings.fault
        val isOnRoute = fault.route.isEmpty() || fault.route == route || path.startsWith(fault.route)
        return fault.kind != EngineFault.Kind.NONE &&
            isOnRoute &&
            hasFaultBegun(fault) &&
            batch.running >= fault.aboveRunning
    }

    /** Cancels a running stream. */
    fun cancel(stream: EngineStream) {
        if (stream.end(EngineStream.State.CANCELLED)) {
            stream.job?.cancel()
            updateStats { it.copy(cancelled = it.cancelled + 1) }
            updateRequestCounts(stream) { it.copy(cancelled = it.cancelled + 1) }
        }
    }

    fun fail(stream: EngineStream) {
        if (stream.end(EngineStream.State.FAILED)) {
            updateStats { it.copy(failed = it.failed + 1) }
            updateRequestCounts(stream) { it.copy(failed = it.failed + 1) }
            stream.job?.cancel()
        }
    }

    private fun hasFaultBegun(fault: EngineFault): Boolean =
        synchronized(this) {
            startedSinceChange >= fault.afterRequests &&
                settingsChangedAt.elapsedNow() >= fault.afterSeconds.seconds
        }

    private suspend fun generate(stream: EngineStream) {
        try {
            batch.run({ settings.capacity }, stream.priority) {
                delay((stream.promptTokens / settings.prefillTokensPerSecond).seconds)
                if (generateTokens(stream)) finish(stream)
            }
        } catch (e: CancellationException) {
            if (stream.end(EngineStream.State.CANCELLED)) updateStats { it.copy(cancelled = it.cancelled + 1) }
            throw e
        }
    }

    /** Returns whether all tokens were generated. */
    private suspend fun generateTokens(stream: EngineStream): Boolean {
        val wanted = stream.maxTokens + settings.extraTokens
        var next = TimeSource.Monotonic.markNow()
        while (stream.generatedTokens < wanted) {
            if (isFailing(stream)) {
                fail(stream)
                return false
            }
            next += tokenTime(stream)
            delay(-next.elapsedNow())
            if (isAbandoned(stream)) {
                cancel(stream)
                return false
            }
            if (!generateToken(stream)) return false
        }
        return true
    }

    /**
     * Generates one token and counts it in one step, so that the counts include all usage that a stream reports.
     *
     * Returns false once the stream has ended.
     */
    private fun generateToken(stream: EngineStream): Boolean =
        synchronized(this) {
            if (!stream.addToken(EngineJson::token)) return false
            updateStats { it.copy(generatedTokens = it.generatedTokens + 1) }
            updateRequestCounts(stream) { it.copy(generatedTokens = it.generatedTokens + 1) }
            true
        }

    private fun finish(stream: EngineStream) {
        stream.add(EngineJson.usage(stream))
        stream.add("[DONE]")
        if (stream.end(EngineStream.State.FINISHED)) {
            updateStats { it.copy(finished = it.finished + 1) }
            updateRequestCounts(stream) { it.copy(finished = it.finished + 1) }
        }
    }

    private fun isFailing(stream: EngineStream): Boolean =
        stream.isFaulty &&
            settings.fault.kind == EngineFault.Kind.FAIL &&
            stream.generatedTokens >= settings.fault.afterTokens

    private fun tokenTime(stream: EngineStream): Duration {
        val slowdown = 1 + settings.loadSlowdown * (batch.running - 1) / settings.capacity
        val factor =
            if (stream.isFaulty &&
                settings.fault.kind == EngineFault.Kind.SLOW
            ) {
                settings.fault.slowFactor
            } else {
                1.0
            }
        return (settings.tokenMillis * slowdown * factor).milliseconds
    }

    private fun isAbandoned(stream: EngineStream): Boolean =
        stream.unreadSince?.let { it.elapsedNow() > settings.abandonMillis.milliseconds } == true

    /**
     * Counts a rejection. Above `collapseRejections` a second the engine fails all running requests: rejecting costs work
     * too, and a real engine fails in this way when it runs out of memory.
     */
    private fun reject() {
        stats = stats.copy(rejected = stats.rejected + 1)
        rejections.addLast(TimeSource.Monotonic.markNow())
        while (rejections.first().elapsedNow() > 1.seconds) rejections.removeFirst()
        if (rejections.size > settings.collapseRejections && collapsedUntil?.hasNotPassedNow() != true) {
            collapsedUntil = TimeSource.Monotonic.markNow() + settings.collapseMillis.milliseconds
            stats = stats.copy(collapses = stats.collapses + 1)
            streams.values.filter { it.state == EngineStream.State.RUNNING }.forEach(::fail)
        }
    }

    private fun evictEnded() {
        val keep = settings.keepMillis.milliseconds
        streams.values.removeIf { stream -> stream.endedAt?.let { it.elapsedNow() > keep } == true }
    }

    private fun recordLoad() {
        loadSamples.addLast(LoadSample(TimeSource.Monotonic.markNow(), batch.running, batch.waiting))
    }

    private fun updateStats(change: (EngineStats) -> EngineStats) =
        synchronized(this) {
            stats = change(stats)
            recordLoad()
            while (loadSamples.size > MAX_LOAD_SAMPLES) loadSamples.removeFirst()
        }

    private fun updateRequestCounts(
        stream: EngineStream,
        change: (EngineStats.RequestCounts) -> EngineStats.RequestCounts,
    ) {
        requests.compute(stream.requestId) { _, counts -> change(counts ?: EngineStats.RequestCounts()) }
    }

    private val requests = ConcurrentHashMap<String, EngineStats.RequestCounts>()

    /** The counts by request id. */
    fun requestCounts(): Map<String, EngineStats.RequestCounts> = synchronized(this) { requests.toMap() }

    private companion object {
        const val MAX_ORDERS = 1000
        const val MAX_LOAD_SAMPLES = 10_000
    }
}
