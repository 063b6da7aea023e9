package io.limpetfold.measure.slowreaders

import io.limpetfold.measure.fleet.RouterFleet
import io.limpetfold.measure.fleet.RouterProcess
import io.limpetfold.measure.overhead.StreamedCall
import io.limpetfold.measure.report.MeasurementReport
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonPrimitive
import org.HdrHistogram.Histogram
import java.util.Locale
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Measures the effect of slow callers and slow uploads on one router process and on a fast caller of it. */
class SlowReadersMeasurement {
    /** Runs with 0 and each of [counts] slow callers, each time with a new router process. */
    fun run(counts: List<Int>): MeasurementReport =
        MeasurementReport(
            "slow-readers",
            mapOf(
                "answer of a slow caller" to
                    "$EVENTS events of ${StreamingEndpoint.EVENT_CHARS} B, not read for ${HOLD_DURATION.inWholeSeconds} s",
                "fast caller" to "$FAST_CALLS answers of $FAST_TOKENS tokens at 10 ms",
                "bounds" to "64 KiB a stream and direction, 64 MiB a process",
                "router" to RouterProcess.JAVA_OPTS,
            ),
            "the first row: the fast caller alone",
            (listOf(0) + counts).map { slowReaders(it) } + slowUploads(counts.max() / UPLOAD_PART) +
                unreadUploads(counts.max() / UPLOAD_PART),
        )

    private fun slowReaders(count: Int): Map<String, JsonPrimitive> =
        measure(
            "slow callers of streamed answers",
            count,
            SlowCaller.largeResponse(EVENTS),
            { it.write() },
        ) { callers ->
            if (callers.isEmpty()) {
                "-"
            } else {
                val completeCount = callers.take(SAMPLE).count { it.readsToEnd(READ_TIMEOUT) }
                "$completeCount of ${minOf(SAMPLE, count)} whole"
            }
        }

    /** Callers that send 1 KB of a 200 KB prompt in each round. */
    private fun slowUploads(count: Int): Map<String, JsonPrimitive> =
        measure(
            "callers that trickle a prompt",
            count,
            SlowCaller.upload("/v1/chat/completions", PROMPT_BYTES),
            { it.write(TRICKLE_BYTES) },
        ) { "-" }

    private fun unreadUploads(count: Int): Map<String, JsonPrimitive> =
        measure(
            "uploads to an endpoint that does not read",
            count,
            SlowCaller.upload("/plain/upload", UPLOAD_BYTES),
            { it.write() },
        ) { callers -> "${callers.count { it.unsentBytes > 0 }} of $count stopped" }

    private fun measure(
        what: String,
        count: Int,
        request: ByteArray,
        write: (SlowCaller) -> Unit,
        outcome: (List<SlowCaller>) -> String,
    ): Map<String, JsonPrimitive> =
        RouterFleet(1, StreamingEndpoint(), NonReadingEndpoint()).use { fleet ->
            fleet.start()
            val router = fleet.routers[0]
            callFast(fleet, WARM_UP_CALLS)
            val heapBefore = router.heapAfterCollectionBytes()
            val callers = List(count) { SlowCaller(fleet.callersAddress(0), request) }
            try {
                val start = TimeSource.Monotonic.markNow()
                while (start.elapsedNow() < HOLD_DURATION) {
                    callers.forEach(write)
                    Thread.sleep(ROUND_MILLIS)
                }
                val held = router.gauge("limpetfold_buffered_bytes")
                val call = callFast(fleet, FAST_CALLS)
                val heap = router.heapAfterCollectionBytes()
                val peak = router.gauge("limpetfold_buffered_bytes_peak")
                row(what, count, held, peak, heapBefore, heap, call, outcome(callers))
            } finally {
                callers.forEach { it.close() }
            }
        }

    private class FastCallResult(
        val call: StreamedCall,
        val completed: Int,
    )

    private fun callFast(
        fleet: RouterFleet,
        calls: Int,
    ): FastCallResult {
        val call = StreamedCall(fleet.client, fleet.callersAddress(0), FAST_TOKENS)
        return FastCallResult(call, runBlocking { (1..calls).count { call.send() == StreamedCall.Outcome.COMPLETE } })
    }

    @Suppress("LongParameterList")
    private fun row(
        what: String,
        count: Int,
        held: Double,
        peak: Double,
        heapBefore: Long,
        heap: Long,
        fast: FastCallResult,
        outcome: String,
    ): Map<String, JsonPrimitive> =
        MeasurementReport.row(
            "slow side" to what,
            "count" to count,
            "bytes held" to held.toLong(),
            "peak bytes held" to peak.toLong(),
            "bound of bytes held" to minOf(count * STREAM_BOUND, PROCESS_BOUND),
            "heap before, MB" to heapBefore / MEGABYTE,
            "heap with them, MB" to heap / MEGABYTE,
            "fast answers whole" to "${fast.completed} of $FAST_CALLS",
            "fast first token p50/max ms" to spread(fast.call.firstToken.intervalHistogram),
            "fast completion p50/max ms" to spread(fast.call.completion.intervalHistogram),
            "slow side's outcome" to outcome,
        )

    private fun spread(histogram: Histogram): String =
        listOf(histogram.getValueAtPercentile(50.0), histogram.maxValue).joinToString(" / ") {
            "%.1f".format(
                Locale.ROOT,
                it / MICROS_PER_MILLI,
            )
        }

    private companion object {
        const val EVENTS = 4_000
        const val FAST_CALLS = 10
        const val WARM_UP_CALLS = 5
        const val FAST_TOKENS = 50
        const val SAMPLE = 3
        const val UPLOAD_PART = 10
        const val PROMPT_BYTES = 200_000
        const val TRICKLE_BYTES = 1_024
        const val UPLOAD_BYTES = 4_000_000
        const val ROUND_MILLIS = 50L
        const val STREAM_BOUND = 64L * 1024
        const val PROCESS_BOUND = 64L * 1024 * 1024
        const val MEGABYTE = 1_000_000.0
        const val MICROS_PER_MILLI = 1_000.0
        val HOLD_DURATION = 4.seconds
        val READ_TIMEOUT = 10.seconds
    }
}
