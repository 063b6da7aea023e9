package io.limpetfold.claim

import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** The latest era of the store that this process knows, and for how long it has known it; safe for concurrent use. */
internal class ClaimEras(
    private val timeSource: TimeSource,
) {
    private var learnedAt: TimeMark = timeSource.markNow()
    private var latestResponse: EraResponse? = null

    @Volatile
    var current = 0L
        private set

    /** How long [current] has been known. */
    val age: Duration @Synchronized get() = learnedAt.elapsedNow()

    @Synchronized
    fun observe(era: Long) {
        if (era <= current) return
        current = era
        learnedAt = timeSource.markNow()
        latestResponse = null
    }

    /** The store responded in [era] to a call that began at [sentAt]. */
    @Synchronized
    fun onResponse(
        era: Long,
        sentAt: TimeMark,
    ) {
        val known = latestResponse?.sentAt
        if (era == current && (known == null || sentAt.elapsedNow() < known.elapsedNow())) {
            latestResponse = EraResponse(era, sentAt)
        }
    }

    /** The response in the present era whose call began last, or null without one. */
    @Synchronized
    fun latestResponse(): EraResponse? = latestResponse

    /** A response of the store in [era] to a call that began at [sentAt]. */
    class EraResponse(
        val era: Long,
        val sentAt: TimeMark,
    )
}
