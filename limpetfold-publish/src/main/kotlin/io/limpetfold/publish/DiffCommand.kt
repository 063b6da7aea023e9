package io.limpetfold.publish

import com.github.ajalt.clikt.core.Context
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.ConfigPublisher
import io.limpetfold.config.FleetConfig

/** Shows what publishing would change. */
internal class DiffCommand(
    connect: (PublishSettings) -> Platform,
) : PlatformCommand("diff", connect) {
    override fun help(context: Context): String = "Shows what publishing the files would change."

    override suspend fun run(
        config: FleetConfig,
        settings: PublishSettings,
        platform: Platform,
    ) = showDiff(ConfigPublisher(platform.store).read().getOrElse { fail(it) }, config)
}
