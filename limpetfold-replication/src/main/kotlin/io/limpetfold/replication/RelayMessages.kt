package io.limpetfold.replication

import io.limpetfold.peer.PeerTopic
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable

/** Asks a relay for the changes under [prefix] after [after], and to wait up to [waitMillis] for one. */
@Serializable
internal data class RelayRequest(
    val prefix: String,
    val after: ObjectVersion,
    val waitMillis: Long,
)

/**
 * The reply to a [RelayRequest]; [objects] and [removed] are set only with [RelayOutcome.CHANGES].
 *
 * @property position the position of the page, or of the relay if it has none; [ObjectVersion.NONE] when unknown.
 */
@Serializable
internal data class RelayReply(
    val outcome: RelayOutcome,
    val position: ObjectVersion = ObjectVersion.NONE,
    val objects: List<RelayedObject> = emptyList(),
    val removed: List<ObjectKey> = emptyList(),
) {
    /** The outcome of a watch from [after]: changes of another era never continue it. */
    fun outcomeFor(after: ObjectVersion): RelayOutcome =
        when {
            outcome != RelayOutcome.CHANGES || position.era == after.era -> outcome
            position.era > after.era -> RelayOutcome.HISTORY_EXPIRED
            else -> RelayOutcome.NOT_CURRENT
        }

    /** The page that a watch of the store would have returned. */
    fun toPage() =
        ObjectPage(
            objects.map { StoredObject(it.key, it.version, it.value, it.status) }.toImmutableList(),
            position,
            removed.toImmutableList(),
        )

    companion object {
        fun of(page: ObjectPage) =
            RelayReply(
                RelayOutcome.CHANGES,
                page.position,
                page.objects.map { RelayedObject(it.key, it.version, it.value, it.status) },
                page.removed,
            )
    }
}

/** Whether a relay could reply with changes. */
@Serializable
internal enum class RelayOutcome {
    CHANGES,

    /** The relay does not follow the store itself, or the store does not respond to it, or the era of the asker is later. */
    NOT_CURRENT,

    /** The relay's history does not reach back to the requested position. */
    HISTORY_EXPIRED,
}

/** A [StoredObject] in a peer message. */
@Serializable
internal data class RelayedObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: String,
    val status: String? = null,
)

internal val RELAY_TOPIC = PeerTopic("replication.watch", RelayRequest.serializer(), RelayReply.serializer())
