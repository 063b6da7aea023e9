package io.limpetfold.measure.fleet

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit

/** A router process on loopback, started with `bin/limpetfold-router`. */
internal class RouterProcess(
    root: Path,
    settings: Path,
    private val operatorsPort: Int,
    log: Path,
) : AutoCloseable {
    private val http = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build()
    private val process: Process =
        ProcessBuilder("$root/bin/limpetfold-router", "--settings", settings.toString())
            .also { it.environment()["JAVA_OPTS"] = JAVA_OPTS }
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start()

    /** CPU time that the process has used so far. */
    fun cpu(): Duration = process.info().totalCpuDuration().orElse(Duration.ZERO)

    /** Whether the router is ready for requests, as `/readyz` reports it. */
    fun isReady(): Boolean {
        check(process.isAlive) { "the router process ended with exit code ${process.exitValue()}" }
        return runCatching { get("/readyz").statusCode() == OK }.getOrDefault(false)
    }

    /** The value of the gauge [name], which must have no labels. */
    fun gauge(name: String): Double =
        get("/metrics")
            .body()
            .lineSequence()
            .first { it.startsWith("$name ") }
            .substringAfter(' ')
            .toDouble()

    /** Heap in use after a full collection, in bytes. */
    fun heapAfterCollectionBytes(): Long {
        jcmd("GC.run")
        return heapBytes(jcmd("GC.heap_info"))
    }

    override fun close() {
        process.destroy()
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly()
    }

    private fun get(path: String): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://127.0.0.1:$operatorsPort$path")).timeout(CALL_TIMEOUT).build()
        return http.send(request, HttpResponse.BodyHandlers.ofString())
    }

    private fun jcmd(command: String): String {
        val call = ProcessBuilder("jcmd", "${process.pid()}", command).redirectErrorStream(true).start()
        val text = call.inputStream.bufferedReader().readText()
        call.waitFor(STOP_SECONDS, TimeUnit.SECONDS)
        return text
    }

    companion object {
        private const val OK = 200
        private const val STOP_SECONDS = 10L
        private const val BYTES_PER_KILOBYTE = 1024L
        private val CALL_TIMEOUT: Duration = Duration.ofSeconds(5)
        private val USED = Regex("""generation\s+total \d+K, used (\d+)K""")

        /** The JVM options that `bin/run-program` uses by default. */
        const val JAVA_OPTS = "-Xmx256m -XX:+UseSerialGC -XX:+ExitOnOutOfMemoryError"

        /** Adds up the bytes in use in all generations of the serial collector in the output of `jcmd GC.heap_info`. */
        fun heapBytes(info: String): Long =
            USED.findAll(info).sumOf { it.groupValues[1].toLong() * BYTES_PER_KILOBYTE }.also {
                check(it > 0) { "no generation of the serial collector in the heap information: $info" }
            }
    }
}
