package io.limpetfold.measure.heads

import com.sun.management.OperatingSystemMXBean
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.measure.report.MeasurementReport
import java.io.InputStream
import java.lang.management.ManagementFactory
import java.net.Socket

/**
 * Measures requests without a body on one kept connection to a server whose handler answers at once, so that their heads
 * are most of what differs between the rows.
 */
class HeadsMeasurement {
    /** Sends [rounds] rounds of requests for each number of fields, in turn. */
    fun run(rounds: Int): MeasurementReport =
        HttpEventLoops(threads = 1).use { loops ->
            val handler = HttpHandler { it.respond(OK) }
            HttpServer(HttpServerSettings(), loops, BufferBudget(), handler, loops.dispatcher).start().use { server ->
                FIELD_COUNTS.forEach { count -> repeat(WARM_UP_ROUNDS) { measure(server.address, count) } }
                val samples = List(rounds) { FIELD_COUNTS.map { measure(server.address, it) } }
                report(rounds, samples)
            }
        }

    private fun report(
        rounds: Int,
        samples: List<List<Sample>>,
    ) = MeasurementReport(
        "heads",
        mapOf(
            "rounds" to "$rounds",
            "requestsPerRound" to "$REQUESTS",
            "caller" to "one connection in the same process",
        ),
        "the rows of the same command on another build, run in turn with this one",
        FIELD_COUNTS.mapIndexed { index, count ->
            val row = samples.map { it[index] }
            MeasurementReport.row(
                "header fields" to count,
                "bytes" to head(count).size,
                "CPU us per request, median" to row.map { it.cpuMicros }.sorted()[rounds / 2],
                "CPU us per request, least" to row.minOf { it.cpuMicros },
                "elapsed us per request, median" to row.map { it.elapsedMicros }.sorted()[rounds / 2],
            )
        },
    )

    private fun measure(
        address: HostPort,
        fields: Int,
    ): Sample {
        val request = head(fields)
        return Socket(address.host, address.port).use { socket ->
            socket.tcpNoDelay = true
            val input = socket.getInputStream().buffered()
            val cpuBefore = PROCESS.processCpuTime
            val start = System.nanoTime()
            repeat(REQUESTS) {
                socket.getOutputStream().write(request)
                skipHead(input)
            }
            val elapsedNanos = System.nanoTime() - start
            Sample(
                (PROCESS.processCpuTime - cpuBefore) / NANOS_PER_MICRO / REQUESTS,
                elapsedNanos / NANOS_PER_MICRO / REQUESTS,
            )
        }
    }

    private fun skipHead(input: InputStream) {
        var lineBytes = 0
        while (true) {
            when (input.read()) {
                -1 -> error("the server closed the connection")
                '\n'.code -> if (lineBytes == 0) return else lineBytes = 0
                '\r'.code -> Unit
                else -> lineBytes++
            }
        }
    }

    /** The head of a request with [fields] fields, of which the first ones are those that decide about it. */
    private fun head(fields: Int): ByteArray {
        val deciding =
            listOf("Host: h.example", "Authorization: Bearer 0123456789abcdef", "X-Request-Id: 9c41d07be2a35f68")
        val others = List(fields - deciding.size) { "X-Field-$it: value of the field with the number $it" }
        val lines = listOf("GET /lohu930/v1/items/2f?page=2 HTTP/1.1") + deciding + others
        return lines.joinToString("\r\n", postfix = "\r\n\r\n").encodeToByteArray()
    }

    private class Sample(
        val cpuMicros: Double,
        val elapsedMicros: Double,
    )

    private companion object {
        const val OK = 200
        const val REQUESTS = 2_000
        const val WARM_UP_ROUNDS = 10
        const val NANOS_PER_MICRO = 1_000.0
        val FIELD_COUNTS = listOf(8, 20, 60)
        val PROCESS = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
    }
}
