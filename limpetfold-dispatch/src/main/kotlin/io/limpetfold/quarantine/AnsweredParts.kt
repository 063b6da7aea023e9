package io.limpetfold.quarantine

import java.time.Duration

/** The prompt parts of calls that were answered a short time ago; the least recently answered ones are dropped. */
internal class AnsweredParts(
    private val policy: QuarantinePolicy,
) {
    private val answeredAt = LinkedHashMap<String, Duration>()

    fun add(
        part: String,
        now: Duration,
    ) {
        // Removed first, so that the order of the map is that of the last answers.
        answeredAt.remove(part)
        answeredAt[part] = now
        if (answeredAt.size > policy.maxAnsweredParts) answeredAt.remove(answeredAt.keys.first())
    }

    fun contains(
        part: String,
        now: Duration,
    ): Boolean = answeredAt[part]?.let { now - it < policy.answeredWindow } ?: false
}
