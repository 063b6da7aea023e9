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

/** Waits until all routers report a generation. */
internal class ConfirmationReader(
    private val platform: Platform,
    private val clock: InstantSource = InstantSource.system(),
    private val time: TimeSource = TimeSource.Monotonic,
    private val pause: suspend (Duration) -> Unit = { delay(it.toMillis()) },
) {
    /** Returns the last state that was read, complete or not; an error when nothing could be read at the end of [within]. */
    suspend fun await(
        generation: Long,
        within: Duration,
    ): Result<Confirmation, StoreError> {
        val end = time.markNow() + within.toKotlinDuration()
        while (true) {
            val read = read(generation)
            val isComplete = read.get()?.isComplete == true
            if (isComplete || end.hasPassedNow()) return read
            pause(INTERVAL)
        }
    }

    /** Returns the highest generation that any router reported; 0 for none. */
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
            LOG.warn("publish: status does not decode key={} reason={}", stored.key, e.javaClass.simpleName)
            null
        }

    private companion object {
        val INTERVAL: Duration = Duration.ofSeconds(1)
        val LOG = LoggerFactory.getLogger(ConfirmationReader::class.java)
    }
}
