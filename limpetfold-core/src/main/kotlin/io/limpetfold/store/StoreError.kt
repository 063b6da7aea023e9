package io.limpetfold.store

import java.time.Duration

/** Why a call to the platform's object API failed. */
sealed interface StoreError {
    val message: String

    /**
     * The object is not at the expected version; nothing was written.
     *
     * @property stored the object at [current], or null when the store did not return it with its refusal.
     */
    data class Conflict(
        val key: ObjectKey,
        val current: ObjectVersion,
        val stored: StoredObject? = null,
    ) : StoreError {
        override val message get() = "object $key is at version $current; read it again and repeat the change"
    }

    /** The platform rejected the call because of its rate limit; nothing was written. */
    data class RateLimited(
        val retryAfter: Duration,
    ) : StoreError {
        override val message get() = "the platform limits calls; retry after ${retryAfter.toMillis()} ms"
    }

    /** The platform was unreachable or refused the call before processing it; nothing was written. */
    data class Unavailable(
        val reason: String,
    ) : StoreError {
        override val message get() = "the platform is unavailable ($reason); retry when it answers again"
    }

    /** A write was sent but no response came, so it may have taken effect. */
    data class OutcomeUnknown(
        val reason: String,
    ) : StoreError {
        override val message get() = "the answer to a write was lost ($reason); read the object before any retry"
    }

    /**
     * The platform no longer has the history from the watched position; list again and watch from the position of the
     * list.
     */
    data object HistoryExpired : StoreError {
        override val message get() = "the history up to the watched position is gone; list the objects again"
    }

    /**
     * The value is larger than the platform accepts; nothing was written.
     *
     * @property limitBytes the platform's limit, if it is known.
     */
    data class TooLarge(
        val sizeBytes: Int,
        val limitBytes: Long? = null,
    ) : StoreError {
        override val message: String
            get() {
                val limit = limitBytes?.let { " of $it bytes" }.orEmpty()
                return "a value of $sizeBytes bytes exceeds the platform's limit$limit; split the object"
            }
    }

    /** The stored value can't be decoded, or the platform rejected the call as invalid. */
    data class Rejected(
        val reason: String,
    ) : StoreError {
        override val message get() = "the object can't be used ($reason); check that all programs have the same version"
    }
}
