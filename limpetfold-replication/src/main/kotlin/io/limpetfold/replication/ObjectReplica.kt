package io.limpetfold.replication

import io.limpetfold.core.InstanceId
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Duration

/**
 * The objects under one prefix as a router last received them. Not safe for concurrent use.
 *
 * Only what came from the store itself is current. What came from a relay is not passed on, so that two routers never
 * confirm each other's outdated state.
 */
internal class ObjectReplica {
    private val history = ObjectHistory()
    private val compressedValues = CompressedValues()
    private val updates = MutableStateFlow(0L)
    private var currentUntil: Duration? = null

    /** The relay that answered the last watch; null for the store itself. */
    var relay: InstanceId? = null

    /** When a peer last asked for changes; null before the first request. */
    var askedAt: Duration? = null

    /** Whether the store confirmed the state, and its next response is not overdue at [now]. */
    fun isCurrent(now: Duration): Boolean = currentUntil.let { it != null && now <= it }

    /** Replaces the state by a listing of the store, which is current until [currentUntil]. */
    fun onListed(
        page: ObjectPage,
        currentUntil: Duration,
    ) = updateFrom(page, currentUntil) { history.applyListing(page) }

    /** Applies a watch; [currentUntil] is null for the reply of a relay. */
    fun onChanged(
        after: ObjectVersion,
        page: ObjectPage,
        currentUntil: Duration?,
    ) = updateFrom(page, currentUntil) { history.applyChanges(after, page) }

    /** Records that the store did not respond. */
    fun onStoreFailed() = update(currentUntil = null) {}

    /**
     * Replies with the changes after [after], and waits up to [maxWait] for one. A state of an era before [knownEra] is not
     * current. A reply without changes carries the position, from which the asker learns of a later era.
     */
    suspend fun awaitChanges(
        after: ObjectVersion,
        maxWait: Duration,
        acceptsCompressed: Boolean,
        knownEra: () -> Long,
        now: () -> Duration,
    ): RelayReply {
        val untilOutdated = (currentUntil ?: now()) - now()
        withTimeoutOrNull(minOf(maxWait, untilOutdated.plusMillis(1)).toMillis()) {
            updates.first { !isCurrent(now()) || history.position.era < knownEra() || history.lastChange > after }
        }
        if (!isCurrent(now()) || history.position.era < knownEra()) {
            return RelayReply(RelayOutcome.NOT_CURRENT, ObjectVersion.of(0, knownEra()))
        }
        return history.changesAfter(after)?.let { page ->
            RelayReply.of(page) { if (acceptsCompressed) compressedValues.of(it) else null }
        }
            ?: RelayReply(RelayOutcome.HISTORY_EXPIRED, history.position)
    }

    /** A page of an earlier era that arrives late confirms nothing. */
    private inline fun updateFrom(
        page: ObjectPage,
        currentUntil: Duration?,
        change: () -> Unit,
    ) {
        if (page.position.era >= history.position.era) update(currentUntil, change)
    }

    private inline fun update(
        currentUntil: Duration?,
        change: () -> Unit,
    ) {
        change()
        compressedValues.retain(history.keys)
        this.currentUntil = currentUntil
        updates.value++
    }
}
