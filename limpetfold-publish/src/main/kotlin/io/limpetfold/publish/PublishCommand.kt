package io.limpetfold.publish

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.help
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.getOrElse
import io.limpetfold.config.ConfigPublisher
import io.limpetfold.config.FleetConfig
import io.limpetfold.config.PublishError
import io.limpetfold.config.PublishResult
import io.limpetfold.rollout.MoveCommands
import java.time.InstantSource

/** Publishes the next generation and waits until every router confirms it. */
internal class PublishCommand(
    connect: (PublishSettings) -> Platform,
    private val createConfirmationReader: (Platform) -> ConfirmationReader = { ConfirmationReader(it) },
) : PlatformCommand("publish", connect) {
    private val comparedWith by option("--compared-with", metavar = "GENERATION")
        .long()
        .help("The generation that 'diff' showed; the default is the current generation")

    private val isReplacingMoves by option("--replace-moves")
        .flag()
        .help("Let activeVersion in the files override the outcome of moves that have ended")

    override fun help(context: Context): String =
        "Publishes the files and waits until all routers confirm the generation."

    override suspend fun run(
        config: FleetConfig,
        settings: PublishSettings,
        platform: Platform,
    ) {
        val publisher = ConfigPublisher(platform.store)
        val current = publisher.read().getOrElse { fail(it) }
        showDiff(current, config)
        checkMoves(config, platform)
        val expectedGeneration = comparedWith ?: current?.generation ?: 0
        val reader = createConfirmationReader(platform)
        val highestReported = reader.highestReportedGeneration().getOrElse { fail(PublishError.Unavailable(it)) }
        val result =
            publisher
                .publish(
                    config,
                    expectedGeneration,
                    settings.effectiveAuthor(),
                    highestReported,
                ).getOrElse { fail(it) }
        val generation = result.config.generation
        echo(summary(result))
        val confirmation =
            reader.await(generation, settings.confirmWithin).getOrElse {
                val message = "generation $generation is published; it is unknown which routers have it: ${it.message}"
                fail(ExitCode.PLATFORM_UNAVAILABLE, message)
            }
        if (!confirmation.isComplete) failUnconfirmed(generation, settings, confirmation)
        if (confirmation.confirmed.isEmpty()) {
            echo("no router is running; routers load generation $generation when they start")
        } else {
            echo("generation $generation is in force in ${confirmation.confirmed.size} routers")
        }
    }

    private suspend fun checkMoves(
        config: FleetConfig,
        platform: Platform,
    ) {
        val clock = InstantSource.system()
        val moves =
            MoveCommands(platform.store, clock).list().getOrElse {
                fail(ExitCode.PLATFORM_UNAVAILABLE, "not published: the moves can't be read: ${it.message}")
            }
        val ended = moves.filter { it.phaseAt(clock.millis()).isFinal }
        val problems =
            MoveCheck.problems(
                config,
                if (isReplacingMoves) moves - ended.toSet() else moves,
                clock.millis(),
            )
        if (problems.isEmpty()) return
        problems.forEach { echo(it, err = true) }
        fail(ExitCode.INVALID_INPUT, "nothing was published")
    }

    private fun summary(result: PublishResult): String {
        val generation = result.config.generation
        return if (result.isChanged) {
            "published generation $generation"
        } else {
            "generation $generation has this content already"
        }
    }

    private fun failUnconfirmed(
        generation: Long,
        settings: PublishSettings,
        confirmation: Confirmation,
    ): Nothing {
        confirmation.unconfirmed.forEach { (instance, state) -> echo("not confirmed: $instance ($state)", err = true) }
        val seconds = settings.confirmWithin.toSeconds()
        val routers =
            "${confirmation.unconfirmed.size} of ${confirmation.unconfirmed.size + confirmation.confirmed.size} routers"
        fail(
            ExitCode.NOT_CONFIRMED,
            "generation $generation is published, and $routers have not confirmed it within $seconds s; " +
                "they load it without a new publication once they reach the platform or a peer; check the routers listed above",
        )
    }
}
