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

/** Writes generations by conditional update on the generation that they were compared with. */
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
     * An own write whose answer was lost is recognised by content hash and [author]. [highestReportedGeneration] is the highest generation that a
     * router reports: after the platform lost data the new generation must exceed it, since no router goes back.
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
        val isOwn: (FleetConfig) -> Boolean = {
            it.generation == next.generation && it.publication?.contentHash == hash && it.publication.author == author
        }
        return stored
            .update<PublishError.GenerationConflict>(isOwn) { current -> decide(current, next, expectedGeneration, isOwn) }
            .map { PublishResult(it.value ?: next, isChanged = it.value?.generation == next.generation) }
            .mapError { failure(it) }
    }

    private fun decide(
        current: FleetConfig?,
        next: FleetConfig,
        expectedGeneration: Long,
        isOwn: (FleetConfig) -> Boolean,
    ): Change<FleetConfig, PublishError.GenerationConflict> {
        val generation = current?.generation ?: 0
        val publication = current?.publication
        return when {
            current != null && isOwn(current) -> Change.Keep
            generation != expectedGeneration ->
                Change.Refuse(
                    PublishError.GenerationConflict(
                        expectedGeneration,
                        generation,
                        publication?.author ?: "an unknown author",
                        publication?.publishedAt,
                    ),
                )
            current != null && generation + 1 == next.generation && publication?.contentHash == next.publication?.contentHash ->
                Change.Keep
            else -> Change.Write(next)
        }
    }

    private fun failure(error: UpdateError<PublishError.GenerationConflict>): PublishError =
        when (error) {
            is UpdateError.Refused -> error.reason
            is UpdateError.Failed ->
                when (val cause = error.error) {
                    is StoreError.OutcomeUnknown -> PublishError.OutcomeUnknown(cause)
                    else -> PublishError.Unavailable(cause)
                }
        }
}
