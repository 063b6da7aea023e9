package io.limpetfold.router.operate

import com.github.michaelbull.result.onFailure
import io.limpetfold.burn.SloBurnCounter
import io.limpetfold.burn.SloBurnRecord
import io.limpetfold.config.RouterStatus
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import org.slf4j.LoggerFactory
import java.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.time.toKotlinDuration

/**
 * Writes this router's status and burn counts to the platform.
 *
 * The status goes out when its generation or draining flag changes, else once a minute; the platform's writes are scarce.
 */
internal class StatusReporter(
    private val store: ObjectStore,
    private val burn: SloBurnCounter,
    private val monotonic: TimeSource,
    private val describe: () -> RouterStatus,
) {
    private var reported: RouterStatus? = null
    private var reportedAt: TimeMark? = null
    private var burnAt: TimeMark? = null
    private var isRestored = false

    /** Reports what is due. */
    suspend fun maintain() {
        reportStatus()
        reportBurn()
    }

    /** Reports at once; the last act of a planned stop. */
    suspend fun finish() {
        reportedAt = null
        burnAt = null
        maintain()
    }

    private suspend fun reportStatus() {
        val status = describe()
        val last = reported
        val isChanged = last == null || last.generation != status.generation || last.isDraining != status.isDraining
        if (!isChanged && !isDue(reportedAt, INTERVAL)) return
        val target = TypedObject(store, RouterStatus.key(status.instance), RouterStatus.serializer())
        target
            .update<Unit>({ it == status }) { current ->
                // An older incarnation that wakes must not overwrite the status of its successor.
                if (current != null && current.incarnation > status.incarnation) Change.Refuse(Unit) else Change.Write(status)
            }.onFailure {
                if (it is UpdateError.Failed) LOGGER.warn("status: report failed cause=\"{}\"", it.error.message)
                return
            }
        reported = status
        reportedAt = monotonic.markNow()
    }

    private suspend fun reportBurn() {
        if (!isDue(burnAt, INTERVAL)) return
        val instance = describe().instance.value
        val target = TypedObject(store, SloBurnRecord.key(instance), SloBurnRecord.serializer())
        val written =
            target.update<Nothing>({ false }) { current ->
                if (!isRestored && current != null) burn.restore(current)
                isRestored = true
                Change.Write(burn.toRecord(instance))
            }
        written.onFailure { return }
        burnAt = monotonic.markNow()
    }

    private fun isDue(
        last: TimeMark?,
        interval: Duration,
    ): Boolean = last == null || last.elapsedNow() >= interval.toKotlinDuration()

    private companion object {
        val INTERVAL: Duration = Duration.ofMinutes(1)
        val LOGGER = LoggerFactory.getLogger(StatusReporter::class.java)
    }
}
