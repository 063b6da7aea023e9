package io.limpetfold.router

import io.limpetfold.http.HostPort
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.absolutePathString
import kotlin.io.path.deleteIfExists

/** A router that runs as a separate process with the class path of this JVM. */
internal class RouterProcess(
    private val settings: Path,
    val callers: HostPort,
    private val operators: HostPort,
) : AutoCloseable {
    private val process =
        ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").absolutePathString(),
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
            "io.limpetfold.router.RouterMainKt",
            "--settings",
            settings.absolutePathString(),
        ).inheritIO().start()

    /** Sends SIGTERM, which starts a graceful shutdown. */
    fun terminate() = process.destroy()

    /** Sends SIGKILL. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Waits for the process to exit and returns its exit code, or null when it still runs after a minute. */
    fun awaitExit(): Int? = if (process.waitFor(1, TimeUnit.MINUTES)) process.exitValue() else null

    /** Sends a `GET` to the operators' port with its key; returns null when there is no response. */
    suspend fun operator(path: String): RawCaller.Response? =
        runCatching {
            RawCaller(
                operators,
            ).use { it.call("GET $path", headers = arrayOf("Authorization: Bearer ${TestFleet.OPERATOR_KEY}")) }
        }.getOrNull()

    override fun close() {
        process.destroyForcibly()
        settings.deleteIfExists()
    }
}
