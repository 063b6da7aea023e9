package io.limpetfold.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import java.time.Duration

/**
 * The platform's object API.
 *
 * Implementations are safe for concurrent use, never block the calling thread, and bound every call by a timeout of their own.
 */
interface ObjectStore {
    /** Reads one object, or null when it does not exist. */
    suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError>

    /**
     * Reads one object as it was up to some seconds ago, for less than [get] where the store has such reads.
     *
     * A conditional write that rests on it is safe; nothing else is decided by it.
     */
    suspend fun getStale(key: ObjectKey): Result<StoredObject?, StoreError> = get(key)

    /** Writes [value] if the object is still at [expected] and returns the new version. */
    suspend fun put(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError>

    /** Replaces the status of an object if it is still at [expected]; its value stays as it is. */
    suspend fun putStatus(
        key: ObjectKey,
        status: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> = Err(StoreError.Rejected("this store keeps no status; write $key whole"))

    /** Lists all objects whose path starts with [prefix]. */
    suspend fun list(prefix: String): Result<ObjectPage, StoreError>

    /** Waits up to [wait] for objects under [prefix] with a version above [after]; the page is empty when the wait ends. */
    suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError>
}
