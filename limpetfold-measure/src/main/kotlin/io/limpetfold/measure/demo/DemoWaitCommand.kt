package io.limpetfold.measure.demo

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import java.io.IOException
import java.time.Duration
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** Waits until a GET of a URL returns status 200. */
internal class DemoWaitCommand : CliktCommand(name = "wait") {
    private val url by option("--url").required()
    private val http = JdkHttp()

    override fun run() {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < TIMEOUT.toKotlinDuration()) {
            if (isAvailable()) return
            Thread.sleep(POLL_MILLIS)
        }
        echo("FAILED: $url did not return status 200 within ${TIMEOUT.toSeconds()} s", err = true)
        throw ProgramResult(1)
    }

    private fun isAvailable(): Boolean =
        try {
            http.get(url).statusCode() == OK
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val OK = 200
        const val POLL_MILLIS = 100L
        val TIMEOUT: Duration = Duration.ofSeconds(40)
    }
}
