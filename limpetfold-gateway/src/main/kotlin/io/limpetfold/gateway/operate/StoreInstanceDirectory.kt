package io.limpetfold.gateway.operate

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onSuccess
import io.limpetfold.core.InstanceId
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.Change
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import io.limpetfold.store.TypedObject
import io.limpetfold.store.UpdateError
import io.limpetfold.store.Versioned
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.SerializationException

/**
 * The routers of the fleet, each of which registers itself in the platform's store.
 *
 * @param otherKeys keys of objects under the same prefix that are not routers.
 * @param onList called with each result of a listing.
 */
internal class StoreInstanceDirectory(
    private val store: ObjectStore,
    private val log: DecisionLog,
    private val otherKeys: Set<ObjectKey>,
    private val onList: (Result<ObjectPage, StoreError>) -> Unit,
) : InstanceDirectory {
    override suspend fun list(): Result<ImmutableList<ListedInstance>, StoreError> =
        store
            .list(PREFIX)
            .also(onList)
            .map { page ->
                page.objects
                    .filter { it.key !in otherKeys }
                    .mapNotNull(::decode)
                    .toImmutableList()
            }

    /**
     * Writes the entry of [self] unless the stored entry already equals it. In a fleet that starts there is no entry
     * yet, so it is created without a read.
     */
    suspend fun register(self: ListedInstance): Result<Versioned<ListedInstance>, UpdateError<Nothing>> {
        val value = TypedObject.JSON.encodeToString(ListedInstance.serializer(), self)
        store.put(keyOf(self.instance), value, ObjectVersion.NONE).onSuccess { return Ok(Versioned(self, it)) }
        return renew(self)
    }

    /** Reads the entry of [self] and writes it unless the stored entry already equals it. */
    suspend fun renew(self: ListedInstance): Result<Versioned<ListedInstance>, UpdateError<Nothing>> =
        TypedObject(store, keyOf(self.instance), ListedInstance.serializer())
            .update(isApplied = { it == self }) { if (it == self) Change.Keep else Change.Write(self) }

    private fun decode(stored: StoredObject): ListedInstance? =
        try {
            TypedObject.JSON.decodeFromString(ListedInstance.serializer(), stored.value)
        } catch (e: SerializationException) {
            log.warn("router.skipped", "entry" to stored.key, "reason" to e.message?.lineSequence()?.first())
            null
        }

    private fun keyOf(instance: InstanceId) = ObjectKey(PREFIX + instance.value)

    private companion object {
        const val PREFIX = "routers/"
    }
}
