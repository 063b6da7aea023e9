package io.limpetfold.rollout.timed

import io.limpetfold.core.VersionId
import java.time.Duration

/**
 * Moves whose orders were replaced or removed, because a restored store may hold these orders again.
 *
 * A move is forgotten [RETENTION] after it ended, or when [MAX_MOVES] later ones have. Times are monotonic. Not safe for
 * concurrent use.
 */
internal class EndedMoves {
    private class Entry(
        val move: TimedMove,
        val endedAt: Duration,
    )

    /** The last move of each order, by the time of its end. */
    private val entries = LinkedHashMap<OrderKey, Entry>()

    /** Records that [move] ended. */
    fun add(
        move: TimedMove,
        now: Duration,
    ) {
        val key = OrderKey(move.order)
        entries.remove(key)
        entries[key] = Entry(move, now)
        if (entries.size > MAX_MOVES) entries.remove(entries.keys.first())
    }

    /** Removes and returns the move of [order] if it is known from before a restore of the store. */
    fun takeRestored(order: MoveOrder): TimedMove? {
        val key = OrderKey(order)
        val move = entries[key]?.move?.takeIf { order.isRestored(it.order) } ?: return null
        entries.remove(key)
        return move
    }

    /** Returns the last move of [service] to [target]. */
    fun find(
        service: String,
        target: VersionId,
    ): TimedMove? =
        entries.entries
            .lastOrNull { it.key.service == service && it.key.target == target }
            ?.value
            ?.move

    /** Whether another order to move the service to the target of [order] is known. */
    fun hasOtherOrder(order: MoveOrder): Boolean = find(order.service, order.target) != null

    /** Forgets what is no longer needed. */
    fun removeExpired(now: Duration) {
        entries.values.removeIf { now - it.endedAt > RETENTION }
    }

    private data class OrderKey(
        val service: String,
        val target: VersionId,
        val duration: Duration,
    ) {
        constructor(order: MoveOrder) : this(order.service, order.target, order.duration)
    }

    private companion object {
        /** The copy from which a store is restored is seconds old; the rest covers a store that is away for long. */
        val RETENTION: Duration = Duration.ofMinutes(10)

        /** Bounds the memory; each move holds the evidence of its routes. */
        const val MAX_MOVES = 64
    }
}
