package io.limpetfold.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** One object of the platform's object API, decoded as [T] and changed by conditional writes only. */
class TypedObject<T : Any>(
    private val store: ObjectStore,
    val key: ObjectKey,
    private val serializer: KSerializer<T>,
) {
    /** Reads the object. */
    suspend fun read(): Result<Versioned<T>, StoreError> = store.get(key).andThen(::decode)

    /**
     * Applies [change] to the current value and writes the result conditionally.
     *
     * After a conflict, [change] runs again on the newer value. When the response to a write is lost, the object is
     * read again and [isApplied] tells whether the write took effect, so the written value must identify its author.
     * [change] may run several times and must be pure.
     *
     * @param isStaleReadAllowed whether the first attempt may use the cheaper [ObjectStore.getStale]; if [change] then
     * writes nothing, it runs again on the latest value.
     * @param isStaleResultAllowed whether the value of such a read is good enough where [change] keeps it.
     */
    suspend fun <E> update(
        isApplied: (T) -> Boolean,
        isStaleReadAllowed: Boolean = false,
        isStaleResultAllowed: Boolean = false,
        change: (T?) -> Change<T, E>,
    ): Result<Versioned<T>, UpdateError<E>> =
        updateVersioned({ it.value?.let(isApplied) == true }, isStaleReadAllowed, isStaleResultAllowed) {
            change(it.value)
        }

    /** As [update], for a change that depends on the version at which the value was read. */
    suspend fun <E> updateVersioned(
        isApplied: (Versioned<T>) -> Boolean,
        isStaleReadAllowed: Boolean = false,
        isStaleResultAllowed: Boolean = false,
        change: (Versioned<T>) -> Change<T, E>,
    ): Result<Versioned<T>, UpdateError<E>> {
        var isOutcomeUnknown = false
        var isStale = isStaleReadAllowed
        var conflicting: StoredObject? = null
        var lastError: StoreError = StoreError.Unavailable("no attempt was made")
        repeat(MAX_ATTEMPTS) {
            val stored = conflicting?.let { Ok(it) } ?: if (isStale) store.getStale(key) else store.get(key)
            val current = stored.andThen(::decode).getOrElse { return failed(it, isOutcomeUnknown) }
            if (isOutcomeUnknown && isApplied(current)) return Ok(current)
            val result = change(current)
            val isStaleResultGood = result is Change.Write || (isStaleResultAllowed && result is Change.Keep)
            if (isStale && !isStaleResultGood) {
                isStale = false
                return@repeat
            }
            isStale = false
            val next =
                when (result) {
                    is Change.Keep -> return Ok(current)
                    is Change.Refuse -> return Err(UpdateError.Refused(result.reason))
                    is Change.Write -> result.value
                }
            lastError =
                store.put(key, JSON.encodeToString(serializer, next), current.version).fold(
                    success = { return Ok(Versioned(next, it)) },
                    failure = { it },
                )
            conflicting = (lastError as? StoreError.Conflict)?.stored
            when (lastError) {
                is StoreError.Conflict -> Unit
                is StoreError.OutcomeUnknown -> isOutcomeUnknown = true
                else -> return failed(lastError, isOutcomeUnknown)
            }
        }
        return failed(lastError, isOutcomeUnknown)
    }

    private fun <E> failed(
        error: StoreError,
        isOutcomeUnknown: Boolean,
    ): Result<Versioned<T>, UpdateError<E>> =
        Err(UpdateError.Failed(if (isOutcomeUnknown) asOutcomeUnknown(error) else error))

    /**
     * An earlier write of this update may have taken effect, so a later failure must not imply that nothing was
     * written.
     */
    private fun asOutcomeUnknown(error: StoreError): StoreError = StoreError.OutcomeUnknown(error.message)

    private fun decode(stored: StoredObject?): Result<Versioned<T>, StoreError> =
        try {
            Ok(
                if (stored == null) {
                    Versioned(null, ObjectVersion.NONE)
                } else {
                    Versioned(JSON.decodeFromString(serializer, stored.value), stored.version)
                },
            )
        } catch (e: SerializationException) {
            Err(StoreError.Rejected("$key: ${e.message}"))
        }

    companion object {
        /**
         * Maximum number of attempts lost to other writers; with random order, eight suffice for a few dozen writers.
         */
        private const val MAX_ATTEMPTS = 8

        /**
         * The encoding of all stored objects; unknown keys are ignored because newer programs may have written them.
         */
        val JSON: Json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }
    }
}
