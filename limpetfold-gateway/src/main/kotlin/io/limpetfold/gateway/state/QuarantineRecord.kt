package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.quarantine.QuarantinedPartReport
import io.limpetfold.quarantine.StoredQuarantine
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import io.limpetfold.store.TypedObject
import kotlinx.serialization.SerializationException
import java.time.Duration
import kotlin.random.Random

/**
 * Keeps what must outlast a restart of all routers of the [quarantine] in one object of the store.
 *
 * The object is part of the list of routers, which each router reads when it starts. It is written when it lacks what
 * this router knows, first by the routers that saw the crash; the others hear from them that it is written, and write it
 * themselves only if they don't. While nothing is known and nothing is stored, no call is made.
 *
 * After a restore of the store the object may be older or absent; versions of an earlier era then say nothing about it.
 */
internal class QuarantineRecord(
    private val quarantine: PromptPartQuarantine,
    private val store: ObjectStore,
    private val clock: MonotonicClock,
    private val random: Random,
    private val log: DecisionLog,
    private val routerCount: () -> Int,
) {
    private var version: ObjectVersion? = null
    private var era = 0L
    private var content = StoredQuarantine()
    private var contentAt = Duration.ZERO
    private var seenOwnRevision = quarantine.ownRevision
    private var isOwnChange = false
    private var dueAt: Duration? = null
    private var dueReason = Difference.NONE
    private var notBefore = Duration.ZERO
    private var failures = 0
    private var comparedState: Pair<Long, ObjectVersion>? = null
    private var comparedAt = Duration.ZERO

    /** Whether the list of routers has been read or the read has failed, so that there is nothing to wait for. */
    var isStartReadDone = false
        private set

    /** Whether this router knows something that the store lacks. */
    val isBehind: Boolean get() = dueReason == Difference.MISSING

    /** The version of the object as far as known. */
    val knownVersion: ObjectVersion get() = version ?: ObjectVersion.NONE

    /** The last version that this router wrote or heard of, which others may not know. */
    var toldVersion: ObjectVersion = ObjectVersion.NONE
        private set

    /** What the object holds at [knownVersion], or null if that is unknown or nothing. */
    fun known(): StoredQuarantine? = aged().takeIf { knownVersion > ObjectVersion.NONE }

    /** Takes the object from the list of routers. */
    fun onListed(page: ObjectPage) {
        isStartReadDone = true
        if (page.position.era < era) return
        onEraChanged(page.position.era)
        val stored = page.objects.find { it.key == KEY }
        if (stored != null) {
            adopt(stored)
        } else if (version == null) {
            onAbsent()
        }
    }

    /**
     * Records that the store began era [current]. What it holds is read again before the next write, at a random time
     * unless the list of routers is read before.
     */
    fun onEraChanged(current: Long) {
        if (current <= era) return
        era = current
        if (version.let { it == null || it.era >= current }) return
        version = if (content.isEmpty && !quarantine.hasEvidence) ObjectVersion.NONE else null
        content = StoredQuarantine()
        dueAt = null
        dueReason = Difference.NONE
        notBefore = clock.now() + uniform(Duration.ZERO, spread())
    }

    /** Records that the list of routers could not be read. */
    fun onListFailed() {
        isStartReadDone = true
    }

    /** Takes over what a peer knows of the object if it is newer. */
    fun onReported(
        reportedVersion: ObjectVersion,
        reported: StoredQuarantine,
    ) {
        if (reportedVersion <= knownVersion || reportedVersion.era < era) return
        adopt(reportedVersion, reported)
        toldVersion = reportedVersion
    }

    /** Writes the object if it is due; makes no call otherwise. */
    suspend fun maintain() {
        val now = clock.now()
        if (version == null) {
            if (isStartReadDone && now >= notBefore) read()
            return
        }
        val reason = currentDifference(now)
        if (reason == Difference.NONE) {
            isOwnChange = false
            seenOwnRevision = quarantine.ownRevision
            dueAt = null
        } else {
            plan(reason, now)
        }
        dueReason = reason
        if (dueAt.let { it == null || now < maxOf(it, notBefore) }) return
        dueAt = null
        write(reason)
    }

    /** Sets when the object is written: sooner if the reason became more urgent, or if this router saw the change. */
    private fun plan(
        reason: Difference,
        now: Duration,
    ) {
        val isOwnNews = quarantine.ownRevision != seenOwnRevision
        seenOwnRevision = quarantine.ownRevision
        val isMoreUrgent = reason > dueReason || (isOwnNews && !isOwnChange)
        if (isOwnNews) isOwnChange = true
        if (dueAt != null && !isMoreUrgent) return
        val isFirst = isOwnChange && reason == Difference.MISSING
        val delay =
            if (isFirst) {
                uniform(OWN_DELAY_MIN, OWN_DELAY_MAX)
            } else {
                OTHERS_DELAY +
                    uniform(Duration.ZERO, spread())
            }
        dueAt = minOf(now + delay, dueAt ?: (now + delay))
    }

    private fun spread() = SPREAD_PER_ROUTER.multipliedBy(routerCount().toLong())

    private fun uniform(
        min: Duration,
        max: Duration,
    ) = Duration.ofMillis(random.nextLong(min.toMillis(), max.toMillis() + 1))

    /** The difference, compared again after a change and every few seconds, since a comparison walks all evidence. */
    private fun currentDifference(now: Duration): Difference {
        val state = quarantine.revision to knownVersion
        if (state == comparedState && now < comparedAt + COMPARE_INTERVAL) return dueReason
        comparedState = state
        comparedAt = now
        return difference(now)
    }

    private fun difference(now: Duration): Difference {
        if (content.isEmpty && !quarantine.hasEvidence) return Difference.NONE
        val own = quarantine.stored(now)
        val stored = aged()
        val isReleased = stored.quarantined.any { quarantine.isAnswered(it.part, now) }
        if (isReleased || !stored.covers(own)) return Difference.MISSING
        val isOutdated =
            stored.crashes.any { crash ->
                crash.ageMillis > quarantine.crashWindow.toMillis() ||
                    crash.prompts.any { prompt -> prompt.any { quarantine.isAnswered(it, now) } }
            } ||
                stored.quarantined.any { kept -> isProlonged(kept, own) }
        return if (isOutdated) Difference.OUTDATED else Difference.NONE
    }

    /**
     * Whether the object must be renewed, because a router that reads it now would prolong the quarantine [kept]: a read
     * does not tell the age of the object.
     */
    private fun isProlonged(
        kept: QuarantinedPartReport,
        own: StoredQuarantine,
    ): Boolean {
        val readMillis = content.quarantined.first { it.part == kept.part }.remainingMillis
        val ownMillis = own.quarantined.find { it.part == kept.part }?.remainingMillis ?: return true
        if (readMillis <= 0) return false
        return ownMillis <= 0 || readMillis - ownMillis > kept.durationMillis / SLACK_DIVISOR
    }

    private suspend fun read() =
        store.get(KEY).fold(
            success = { stored -> if (stored == null) onAbsent() else adopt(stored) },
            failure = { onFailed(it) },
        )

    private suspend fun write(reason: Difference) {
        val now = clock.now()
        val own = quarantine.stored(now)
        store.put(KEY, TypedObject.JSON.encodeToString(StoredQuarantine.serializer(), own), checkNotNull(version)).fold(
            success = { written ->
                onWritten(written, own, now)
                failures = 0
                notBefore = now + WRITE_PAUSE
                log.info(
                    "quarantine.stored",
                    "reason" to reason.name.lowercase(),
                    "crashes" to own.crashes.size,
                    "parts" to own.quarantined.size,
                    "version" to written,
                )
            },
            failure = { error ->
                when (error) {
                    is StoreError.Conflict -> error.stored?.let(::adopt) ?: run { version = null }
                    else -> {
                        if (error is StoreError.OutcomeUnknown) version = null
                        onFailed(error)
                    }
                }
            },
        )
    }

    private fun onWritten(
        written: ObjectVersion,
        value: StoredQuarantine,
        at: Duration,
    ) {
        // While the write was under way a peer may have told of a later one.
        if (written <= knownVersion || written.era < era) return
        version = written
        toldVersion = written
        content = value
        contentAt = at
    }

    private fun onFailed(error: StoreError) {
        val pause = WRITE_PAUSE.multipliedBy(1L shl failures.coerceAtMost(MAX_DOUBLINGS))
        failures++
        notBefore = clock.now() + uniform(pause.dividedBy(2), pause)
        log.warn("quarantine.not_stored", "reason" to error.message)
    }

    private fun adopt(stored: StoredObject) {
        if (stored.version <= knownVersion || stored.version.era < era) return
        val value =
            try {
                TypedObject.JSON.decodeFromString(StoredQuarantine.serializer(), stored.value)
            } catch (e: SerializationException) {
                log.warn("quarantine.skipped", "entry" to stored.key, "reason" to e.message?.lineSequence()?.first())
                StoredQuarantine()
            }
        adopt(stored.version, value)
    }

    private fun adopt(
        newVersion: ObjectVersion,
        value: StoredQuarantine,
    ) {
        version = newVersion
        era = maxOf(era, newVersion.era)
        content = value
        contentAt = clock.now()
        quarantine.restore(value, contentAt)
        if (!value.isEmpty) {
            log.info(
                "quarantine.restored",
                "crashes" to value.crashes.size,
                "parts" to value.quarantined.size,
                "version" to newVersion,
            )
        }
    }

    private fun onAbsent() {
        version = ObjectVersion.NONE
        content = StoredQuarantine()
    }

    private fun aged() = content.agedBy(clock.now() - contentAt)

    /** How the object differs from what this router knows, by urgency. */
    private enum class Difference {
        NONE,

        /** It contains what has ended or was explained since. */
        OUTDATED,

        /** It lacks a crash or a quarantine, or contains a quarantine that an answer has ended. */
        MISSING,
    }

    companion object {
        /** In the list of routers, so that no further call is needed at the start. */
        val KEY = ObjectKey("routers/quarantine")
        private val OWN_DELAY_MIN: Duration = Duration.ofMillis(50)
        private val OWN_DELAY_MAX: Duration = Duration.ofMillis(400)

        /** Time within which others hear that the object was written. */
        private val OTHERS_DELAY: Duration = Duration.ofSeconds(2)
        private val SPREAD_PER_ROUTER: Duration = Duration.ofMillis(100)
        private val WRITE_PAUSE: Duration = Duration.ofSeconds(1)
        private val COMPARE_INTERVAL: Duration = Duration.ofSeconds(2)
        private const val MAX_DOUBLINGS = 1
        private const val SLACK_DIVISOR = 10
    }
}
