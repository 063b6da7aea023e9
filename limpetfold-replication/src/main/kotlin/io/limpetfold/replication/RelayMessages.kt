package io.limpetfold.replication

import io.limpetfold.peer.PeerTopic
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable

/**
 * Asks a relay for the changes under [prefix] after [after], and to wait up to [waitMillis] for one.
 *
 * @property acceptsCompressed whether the asker reads [RelayedObject.compressedValue]; false in requests of earlier
 * versions.
 */
@Serializable
internal data class RelayRequest(
    val prefix: String,
    val after: ObjectVersion,
    val waitMillis: Long,
    val acceptsCompressed: Boolean = false,
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

    /** The page that a watch of the store would have returned; null if a value of it is damaged. */
    fun toPage(): ObjectPage? {
        val stored = objects.mapNotNull { it.toStored() }
        if (stored.size < objects.size) return null
        return ObjectPage(stored.toImmutableList(), position, removed.toImmutableList())
    }

    companion object {
        /** The reply with [page]; [compressed] returns the compressed value of an object, or null to send it as it is. */
        fun of(
            page: ObjectPage,
            compressed: (StoredObject) -> CompressedText?,
        ) = RelayReply(
            RelayOutcome.CHANGES,
            page.position,
            page.objects.map { RelayedObject.of(it, compressed(it)) },
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

/**
 * A [StoredObject] in a peer message.
 *
 * @property value empty if [compressedValue] is set.
 */
@Serializable
internal class RelayedObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: String,
    val status: String? = null,
    val compressedValue: CompressedText? = null,
) {
    /** Returns null if the compressed value is damaged. */
    fun toStored(): StoredObject? {
        val text = if (compressedValue == null) value else compressedValue.text() ?: return null
        return StoredObject(key, version, text, status)
    }

    companion object {
        fun of(
            stored: StoredObject,
            compressed: CompressedText?,
        ) = RelayedObject(
            stored.key,
            stored.version,
            if (compressed == null) stored.value else "",
            stored.status,
            compressed,
        )
    }
}

internal val RELAY_TOPIC = PeerTopic("replication.watch", RelayRequest.serializer(), RelayReply.serializer())
