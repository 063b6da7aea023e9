package io.limpetfold.standins

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import kotlinx.serialization.KSerializer
import java.util.concurrent.CountDownLatch

/** The command line that all stand-ins share; prints the address on standard output once the stand-in listens. */
abstract class StandinCommand<S : Any>(
    name: String,
    private val serializer: KSerializer<S>,
) : CliktCommand(name) {
    private val host by option("--host", help = "IP address to listen on").default("127.0.0.1")
    private val port by option("--port", help = "port to listen on; 0 chooses a free one").int().default(0)
    private val settingsFile by option(
        "--settings",
        help = "YAML settings file; see the module's README",
    ).file(mustExist = true, canBeDir = false)
    private val set by option("--set", help = "YAML mapping of settings, used instead of a file")

    init {
        versionOption(StandinCommand::class.java.`package`.implementationVersion ?: "development")
    }

    /** Returns the request handler of the stand-in. */
    protected abstract fun handler(settings: S): HttpHandler

    override fun run() {
        val text = set ?: settingsFile?.readText()?.takeIf { it.isNotBlank() } ?: "{}"
        val source = settingsFile?.path ?: "--set"
        val decoded =
            try {
                Yaml.default.decodeFromString(serializer, text)
            } catch (e: YamlException) {
                throw CliktError(
                    "$source:${e.line}:${e.column}: ${e.path.toHumanReadableString()}: ${e.message}",
                    e,
                    statusCode = 2,
                )
            } catch (e: IllegalArgumentException) {
                throw CliktError("$source: ${e.message}", e, statusCode = 2)
            }
        HttpEventLoops().use { loops ->
            StandinServer(host, port, loops, handler(decoded)).use { server ->
                val stopped = CountDownLatch(1)
                Runtime.getRuntime().addShutdownHook(Thread(stopped::countDown))
                echo("listening ${server.address}")
                stopped.await()
            }
        }
    }
}
