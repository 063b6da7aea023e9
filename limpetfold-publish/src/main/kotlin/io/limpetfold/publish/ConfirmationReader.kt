package io.limpetfold.publish

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import io.limpetfold.config.RouterStatus
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import io.limpetfold.store.TypedObject
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.slf4j.LoggerFactory
import java.time.Duration
import java.time.InstantSource
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/** Polls the platform until all routers report a generation. */
internal class ConfirmationReader(
    private val platform: Platform,
    private val clock: InstantSource = InstantSource.system(),
    private val time: TimeSource = TimeSource.Monotonic,
    private val pause: suspend (Duration) -> Unit = { delay(it.toMillis()) },
) {
    /** Returns the last state that was read, complete or not after [timeout], or the error of that read. */
    suspend fun await(
        generation: Long,
        timeout: Duration,
    ): Result<Confirmation, StoreError> {
        val deadline = time.markNow() + timeout.toKotlinDuration()
        while (true) {
            val read = read(generation)
            val isComplete = read.get()?.isComplete == true
            if (isComplete || deadline.hasPassedNow()) return read
            pause(POLL_INTERVAL)
        }
    }

    /** Returns the highest generation that any router reported, or 0 if none reported one. */
    suspend fun highestReportedGeneration(): Result<Long, StoreError> =
        statuses().map { statuses -> statuses.maxOfOrNull { it.generation } ?: 0 }

    private suspend fun read(generation: Long): Result<Confirmation, StoreError> =
        platform.directory.list().flatMap { listed ->
            statuses().map { Confirmation.evaluate(listed, it, generation, clock.instant()) }
        }

    private suspend fun statuses(): Result<List<RouterStatus>, StoreError> =
        platform.store.list(RouterStatus.PREFIX).map { page -> page.objects.mapNotNull(::decode) }

    private fun decode(stored: StoredObject): RouterStatus? =
        try {
            TypedObject.JSON.decodeFromString(RouterStatus.serializer(), stored.value)
        } catch (e: SerializationException) {
            LOG.warn("publish: failed to decode router status key={} reason={}", stored.key, e.javaClass.simpleName)
            null
        }

    private companion object {
        val POLL_INTERVAL: Duration = Duration.ofSeconds(1)
        val LOG = LoggerFactory.getLogger(ConfirmationReader::class.java)
    }
}
