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

/** The engine's behaviour without its HTTP interface: batch, pace, overload and faults. */
internal class EngineCore(
    initial: EngineStandinSettings,
    private val scope: CoroutineScope,
) {
    private class Load(
        val at: TimeMark,
        val running: Int,
        val waiting: Int,
    )

    private val batch = EngineBatch()
    private val streams = ConcurrentHashMap<String, EngineStream>()
    private val rejections = ArrayDeque<TimeMark>()
    private val loads = ArrayDeque<Load>()
    private var settingsSince = TimeSource.Monotonic.markNow()
    private var startedSince = 0
    private var collapsedUntil: TimeMark? = null
    private var stats = EngineStats()

    /** The settings in force; a change restarts the conditions of the fault. */
    var settings: EngineStandinSettings = initial
        set(value) {
            synchronized(this) {
                field = value
                settingsSince = TimeSource.Monotonic.markNow()
                startedSince = 0
            }
        }

    fun stats(): EngineStats = synchronized(this) { stats.copy(running = batch.running, waiting = batch.waiting) }

    fun find(requestId: String): EngineStream? {
        forgetOld()
        return streams[requestId]
    }

    fun noteResumed() = change { it.copy(resumed = it.resumed + 1) }

    /** Returns running and waiting requests as they were before the lag of the load report. */
    fun laggedLoad(): Pair<Int, Int> =
        synchronized(this) {
            noteLoad()
            val lag = settings.loadLagMillis.milliseconds
            while (loads.size > 1 && loads.elementAt(1).at.elapsedNow() >= lag) loads.removeFirst()
            loads.first().let { if (it.at.elapsedNow() >= lag) it.running to it.waiting else 0 to 0 }
        }

    /** Accepts an order, or returns the higher fencing number that it lost to. */
    fun order(order: EngineOrder): Long? =
        synchronized(this) {
            if (settings.checksFencing && order.fencing < stats.fencing) return stats.fencing
            stats = stats.copy(fencing = maxOf(stats.fencing, order.fencing), orders = (stats.orders + order).takeLast(MAX_ORDERS))
            null
        }

    /** Starts a stream, or returns null when the engine holds too many requests; nothing was started then. */
    fun start(stream: EngineStream): EngineStream? {
        forgetOld()
        synchronized(this) {
            val held = batch.running + batch.waiting
            if (collapsedUntil?.hasNotPassedNow() == true || held >= settings.rejectAbove) {
                reject()
                return null
            }
            startedSince++
            stats = stats.copy(started = stats.started + 1, peakHeld = maxOf(stats.peakHeld, held + 1))
        }
        changeRequest(stream) { it.copy(started = it.started + 1, promptTokens = it.promptTokens + stream.promptTokens) }
        streams[stream.requestId] = stream
        stream.job = scope.launch { generate(stream) }
        return stream
    }

    /** Whether the fault of the version shows for a request on [route] with [path]. */
    fun isFaulty(
        route: String,
        path: String,
    ): Boolean {
        val fault = settings.fault
        val isOnRoute = fault.route.isEmpty() || fault.route == route || path.startsWith(fault.route)
        return fault.kind != EngineFault.Kind.NONE && isOnRoute && isLate(fault) && batch.running >= fault.aboveRunning
    }

    /** Ends a running stream at the request of its caller. */
    fun cancel(stream: EngineStream) {
        if (stream.end(EngineStream.State.CANCELLED)) {
            stream.job?.cancel()
            change { it.copy(cancelled = it.cancelled + 1) }
            changeRequest(stream) { it.copy(cancelled = it.cancelled + 1) }
        }
    }

    fun fail(stream: EngineStream) {
        if (stream.end(EngineStream.State.FAILED)) {
            change { it.copy(failed = it.failed + 1) }
            changeRequest(stream) { it.copy(failed = it.failed + 1) }
            stream.job?.cancel()
        }
    }

    private fun isLate(fault: EngineFault): Boolean =
        synchronized(this) { startedSince >= fault.afterRequests && settingsSince.elapsedNow() >= fault.afterSeconds.seconds }

    private suspend fun generate(stream: EngineStream) {
        try {
            batch.run({ settings.capacity }, stream.priority) {
                delay((stream.promptTokens / settings.prefillTokensPerSecond).seconds)
                if (generateTokens(stream)) finish(stream)
            }
        } catch (e: CancellationException) {
            if (stream.end(EngineStream.State.CANCELLED)) change { it.copy(cancelled = it.cancelled + 1) }
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

    /** Generates one token and counts it in one step, so that no reader of the counts sees a stream's usage without it; returns false after the end. */
    private fun generateToken(stream: EngineStream): Boolean =
        synchronized(this) {
            if (!stream.addToken(EngineJson::token)) return false
            change { it.copy(generatedTokens = it.generatedTokens + 1) }
            changeRequest(stream) { it.copy(generatedTokens = it.generatedTokens + 1) }
            true
        }

    private fun finish(stream: EngineStream) {
        stream.add(EngineJson.usage(stream))
        stream.add("[DONE]")
        if (stream.end(EngineStream.State.FINISHED)) {
            change { it.copy(finished = it.finished + 1) }
            changeRequest(stream) { it.copy(finished = it.finished + 1) }
        }
    }

    private fun isFailing(stream: EngineStream): Boolean =
        stream.isFaulty && settings.fault.kind == EngineFault.Kind.FAIL && stream.generatedTokens >= settings.fault.afterTokens

    private fun tokenTime(stream: EngineStream): Duration {
        val slowdown = 1 + settings.loadSlowdown * (batch.running - 1) / settings.capacity
        val factor = if (stream.isFaulty && settings.fault.kind == EngineFault.Kind.SLOW) settings.fault.slowFactor else 1.0
        return (settings.tokenMillis * slowdown * factor).milliseconds
    }

    private fun isAbandoned(stream: EngineStream): Boolean = stream.unreadSince?.let { it.elapsedNow() > settings.abandonMillis.milliseconds } == true

    /** Rejecting costs work too: an engine that rejects much fails what it runs, as real ones do when they run out of memory. */
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

    private fun forgetOld() {
        val keep = settings.keepMillis.milliseconds
        streams.values.removeIf { stream -> stream.endedAt?.let { it.elapsedNow() > keep } == true }
    }

    private fun noteLoad() {
        loads.addLast(Load(TimeSource.Monotonic.markNow(), batch.running, batch.waiting))
    }

    private fun change(change: (EngineStats) -> EngineStats) =
        synchronized(this) {
            stats = change(stats)
            noteLoad()
            while (loads.size > MAX_LOADS) loads.removeFirst()
        }

    private fun changeRequest(
        stream: EngineStream,
        change: (EngineStats.RequestCounts) -> EngineStats.RequestCounts,
    ) {
        requests.compute(stream.requestId) { _, counts -> change(counts ?: EngineStats.RequestCounts()) }
    }

    private val requests = ConcurrentHashMap<String, EngineStats.RequestCounts>()

    /** The counts by request identity. */
    fun requestCounts(): Map<String, EngineStats.RequestCounts> = synchronized(this) { requests.toMap() }

    private companion object {
        const val MAX_ORDERS = 1000
        const val MAX_LOADS = 10_000
    }
}
