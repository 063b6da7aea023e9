package io.limpetfold.publish

import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.PublishError
import io.limpetfold.config.yaml.SettingsLoader
import io.limpetfold.store.StoreError

/** A command that reads service files and connects to the platform. */
internal abstract class PlatformCommand(
    name: String,
    private val connect: (PublishSettings) -> Platform,
) : FileCommand(name) {
    private val settingsPath by option("--settings", metavar = "FILE")
        .path()
        .required()
        .help("Settings of this program in YAML; 'platform: ADDRESS:PORT' is required")

    final override suspend fun run() {
        val config = load()
        val settings = SettingsLoader(PublishSettings.serializer()).load(settingsPath).getOrElse { fail(it) }
        val platform = connect(settings)
        try {
            run(config, settings, platform)
        } finally {
            platform.close()
        }
    }

    protected abstract suspend fun run(
        config: FleetConfig,
        settings: PublishSettings,
        platform: Platform,
    )

    protected fun fail(error: PublishError): Nothing =
        when (error) {
            is PublishError.Invalid -> fail(ExitCode.INVALID_INPUT, error.message)
            is PublishError.GenerationConflict -> fail(ExitCode.GENERATION_CONFLICT, "not published: ${error.message}")
            is PublishError.OutcomeUnknown -> fail(ExitCode.PLATFORM_UNAVAILABLE, error.message)
            is PublishError.Unavailable ->
                if (error.error is StoreError.TooLarge) {
                    fail(ExitCode.INVALID_INPUT, "not published: ${error.message}")
                } else {
                    fail(ExitCode.PLATFORM_UNAVAILABLE, "not published: ${error.message}")
                }
        }

    /** Prints the differences between [current] and [config]. */
    protected fun showDiff(
        current: FleetConfig?,
        config: FleetConfig,
    ) {
        val lines = ConfigDiff.lines(current, config)
        val publication = current?.publication
        val base =
            if (current == null) {
                "generation 0 (nothing has been published yet)"
            } else {
                "generation ${current.generation} of ${publication?.author}, published at ${publication?.publishedAt}"
            }
        echo("compared with $base: ${if (lines.isEmpty()) "no difference" else "${lines.size} differences"}")
        lines.forEach { echo(it) }
    }
}
