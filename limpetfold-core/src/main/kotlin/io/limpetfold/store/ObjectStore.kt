package io.limpetfold.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import java.time.Duration

/**
 * The platform's object API.
 *
 * Implementations are safe for concurrent use, never block the calling thread, and apply a timeout of their own to
 * every call.
 */
interface ObjectStore {
    /** Reads one object, or null when it does not exist. */
    suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError>

    /**
     * Reads one object as it was up to a few seconds ago, which costs less than [get] where the store supports it.
     *
     * Use the result only as the basis of a conditional write, which fails if it is stale.
     */
    suspend fun getStale(key: ObjectKey): Result<StoredObject?, StoreError> = get(key)

    /** Writes [value] if the object is still at [expected] and returns the new version. */
    suspend fun put(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError>

    /** Replaces the status of an object if it is still at [expected]; leaves its value unchanged. */
    suspend fun putStatus(
        key: ObjectKey,
        status: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> =
        Err(StoreError.Rejected("this store does not support a separate status; write the whole object $key"))

    /** Lists all objects whose path starts with [prefix]. */
    suspend fun list(prefix: String): Result<ObjectPage, StoreError>

    /** Waits up to [wait] for objects under [prefix] with a version above [after]; returns an empty page on timeout. */
    suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError>
}
