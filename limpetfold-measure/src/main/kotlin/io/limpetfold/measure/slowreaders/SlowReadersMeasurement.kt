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

/** Measures what slow callers and slow uploads cost one router process and a fast caller beside them. */
class SlowReadersMeasurement {
    /** Runs with 0 and each of [counts] slow callers, each time with a new router. */
    fun run(counts: List<Int>): MeasurementReport =
        MeasurementReport(
            "slow-readers",
            mapOf(
                "answer of a slow caller" to "$EVENTS events of ${StreamingEndpoint.EVENT_CHARS} B, not read for ${HOLD.inWholeSeconds} s",
                "fast caller" to "$FAST_CALLS answers of $FAST_TOKENS tokens at 10 ms",
                "bounds" to "64 KiB a stream and direction, 64 MiB a process",
                "router" to RouterProcess.JAVA_OPTS,
            ),
            "the first row: the fast caller alone",
            (listOf(0) + counts).map { slowAnswers(it) } + trickle(counts.max() / UPLOAD_PART) + silent(counts.max() / UPLOAD_PART),
        )

    private fun slowAnswers(count: Int): Map<String, JsonPrimitive> =
        measure("slow callers of streamed answers", count, SlowCaller.largeAnswer(EVENTS), { it.push() }) { callers ->
            if (callers.isEmpty()) "-" else "${callers.take(SAMPLE).count { it.readsWhole(READ_LIMIT) }} of ${minOf(SAMPLE, count)} whole"
        }

    /** Callers that send 1 KB of a 200 KB prompt in each round. */
    private fun trickle(count: Int): Map<String, JsonPrimitive> =
        measure(
            "callers that trickle a prompt",
            count,
            SlowCaller.upload("/v1/chat/completions", PROMPT_BYTES),
            { it.push(TRICKLE_BYTES) },
        ) { "-" }

    private fun silent(count: Int): Map<String, JsonPrimitive> =
        measure(
            "uploads to an endpoint that does not read",
            count,
            SlowCaller.upload("/plain/upload", UPLOAD_BYTES),
            { it.push() },
        ) { callers -> "${callers.count { it.unsentBytes > 0 }} of $count stopped" }

    private fun measure(
        what: String,
        count: Int,
        request: ByteArray,
        push: (SlowCaller) -> Unit,
        outcome: (List<SlowCaller>) -> String,
    ): Map<String, JsonPrimitive> =
        RouterFleet(1, StreamingEndpoint(), SilentEndpoint()).use { fleet ->
            fleet.start()
            val router = fleet.routers[0]
            fast(fleet, WARM_UP_CALLS)
            val heapBefore = router.heapAfterCollectionBytes()
            val callers = List(count) { SlowCaller(fleet.callers(0), request) }
            try {
                val start = TimeSource.Monotonic.markNow()
                while (start.elapsedNow() < HOLD) {
                    callers.forEach(push)
                    Thread.sleep(ROUND_MILLIS)
                }
                val held = router.gauge("limpetfold_buffered_bytes")
                val call = fast(fleet, FAST_CALLS)
                val heap = router.heapAfterCollectionBytes()
                val peak = router.gauge("limpetfold_buffered_bytes_peak")
                row(what, count, held, peak, heapBefore, heap, call, outcome(callers))
            } finally {
                callers.forEach { it.close() }
            }
        }

    private class Fast(
        val call: StreamedCall,
        val whole: Int,
    )

    private fun fast(
        fleet: RouterFleet,
        calls: Int,
    ): Fast {
        val call = StreamedCall(fleet.client, fleet.callers(0), FAST_TOKENS)
        return Fast(call, runBlocking { (1..calls).count { call.send() == StreamedCall.Outcome.WHOLE } })
    }

    @Suppress("LongParameterList")
    private fun row(
        what: String,
        count: Int,
        held: Double,
        peak: Double,
        heapBefore: Long,
        heap: Long,
        fast: Fast,
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
            "fast answers whole" to "${fast.whole} of $FAST_CALLS",
            "fast first token p50/max ms" to spread(fast.call.firstToken.intervalHistogram),
            "fast completion p50/max ms" to spread(fast.call.whole.intervalHistogram),
            "slow side's outcome" to outcome,
        )

    private fun spread(histogram: Histogram): String =
        listOf(histogram.getValueAtPercentile(50.0), histogram.maxValue).joinToString(" / ") { "%.1f".format(Locale.ROOT, it / MICROS_PER_MILLI) }

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
        val HOLD = 4.seconds
        val READ_LIMIT = 10.seconds
    }
}
