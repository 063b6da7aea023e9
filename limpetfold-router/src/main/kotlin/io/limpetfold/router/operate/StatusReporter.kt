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
 * Writes this router's status and SLO burn counts to the platform.
 *
 * The status is written when its generation or draining flag changes, otherwise once a minute, because the platform
 * allows only few writes.
 */
internal class StatusReporter(
    private val store: ObjectStore,
    private val burn: SloBurnCounter,
    private val monotonic: TimeSource,
    private val currentStatus: () -> RouterStatus,
) {
    private var reportedStatus: RouterStatus? = null
    private var statusReportedAt: TimeMark? = null
    private var burnReportedAt: TimeMark? = null
    private var isBurnRestored = false

    /** Writes the reports that are due. */
    suspend fun maintain() {
        reportStatus()
        reportBurn()
    }

    /** Writes all reports immediately, as at the end of a graceful shutdown. */
    suspend fun reportNow() {
        statusReportedAt = null
        burnReportedAt = null
        maintain()
    }

    private suspend fun reportStatus() {
        val status = currentStatus()
        val last = reportedStatus
        val isChanged = last == null || last.generation != status.generation || last.isDraining != status.isDraining
        if (!isChanged && !isDue(statusReportedAt, INTERVAL)) return
        val target = TypedObject(store, RouterStatus.key(status.instance), RouterStatus.serializer())
        target
            .update<Unit>({ it == status }) { current ->
                // An older incarnation that resumes after a pause must not overwrite the status of its successor.
                if (current != null &&
                    current.incarnation > status.incarnation
                ) {
                    Change.Refuse(Unit)
                } else {
                    Change.Write(status)
                }
            }.onFailure {
                if (it is UpdateError.Failed) LOGGER.warn("status: report failed cause=\"{}\"", it.error.message)
                return
            }
        reportedStatus = status
        statusReportedAt = monotonic.markNow()
    }

    private suspend fun reportBurn() {
        if (!isDue(burnReportedAt, INTERVAL)) return
        val instance = currentStatus().instance.value
        val target = TypedObject(store, SloBurnRecord.key(instance), SloBurnRecord.serializer())
        val written =
            target.update<Nothing>({ false }) { current ->
                if (!isBurnRestored && current != null) burn.restore(current)
                isBurnRestored = true
                Change.Write(burn.toRecord(instance))
            }
        written.onFailure { return }
        burnReportedAt = monotonic.markNow()
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
