package io.limpetfold.config

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.StoreError
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import java.time.InstantSource

/** Publishes generations by a conditional update: the write fails if the current generation is not the expected one. */
class ConfigPublisher(
    store: ObjectStore,
    private val clock: InstantSource = InstantSource.system(),
) {
    private val stored = TypedObject(store, FleetConfig.KEY, FleetConfig.serializer())

    /** Reads the newest generation, or null before the first one. */
    suspend fun read(): Result<FleetConfig?, PublishError> =
        stored.read().map { it.value }.mapError { PublishError.Unavailable(it) }

    /**
     * Publishes the content of [config] as the generation after [expectedGeneration], which is 0 before the first one.
     *
     * A write of this publisher whose response was lost is recognised by generation, content hash and [author], and is
     * not repeated. [highestReportedGeneration] is the highest generation that any router reports: after the platform
     * has lost data, the new generation must exceed it, because routers accept only higher generations.
     */
    suspend fun publish(
        config: FleetConfig,
        expectedGeneration: Long,
        author: String,
        highestReportedGeneration: Long = 0,
    ): Result<PublishResult, PublishError> {
        val problems = config.problems()
        if (problems.isNotEmpty()) return Err(PublishError.Invalid(problems))
        val hash = config.contentHash()
        val next =
            config.sorted().copy(
                generation = maxOf(expectedGeneration, highestReportedGeneration) + 1,
                publication = Publication(author, clock.instant(), hash),
            )
        val isOwnWrite: (FleetConfig) -> Boolean = {
            it.generation == next.generation && it.publication?.contentHash == hash && it.publication.author == author
        }
        return stored
            .update<PublishError.GenerationConflict>(
                isOwnWrite,
            ) { current -> decide(current, next, expectedGeneration, isOwnWrite) }
            .map { PublishResult(it.value ?: next, isChanged = it.value?.generation == next.generation) }
            .mapError { toPublishError(it) }
    }

    private fun decide(
        current: FleetConfig?,
        next: FleetConfig,
        expectedGeneration: Long,
        isOwnWrite: (FleetConfig) -> Boolean,
    ): Change<FleetConfig, PublishError.GenerationConflict> {
        val generation = current?.generation ?: 0
        val publication = current?.publication
        return when {
            current != null && isOwnWrite(current) -> Change.Keep
            generation != expectedGeneration ->
                Change.Refuse(
                    PublishError.GenerationConflict(
                        expectedGeneration,
                        generation,
                        publication?.author ?: "an unknown author",
                        publication?.publishedAt,
                    ),
                )
            current != null &&
                generation + 1 == next.generation &&
                publication?.contentHash == next.publication?.contentHash ->
                Change.Keep
            else -> Change.Write(next)
        }
    }

    private fun toPublishError(error: UpdateError<PublishError.GenerationConflict>): PublishError =
        when (error) {
            is UpdateError.Refused -> error.reason
            is UpdateError.Failed ->
                when (val cause = error.error) {
                    is StoreError.OutcomeUnknown -> PublishError.OutcomeUnknown(cause)
                    else -> PublishError.Unavailable(cause)
                }
        }
}
