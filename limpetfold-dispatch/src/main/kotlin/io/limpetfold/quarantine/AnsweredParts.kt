package io.limpetfold.quarantine

import java.time.Duration

/** The prompt parts of calls that were answered a short time ago; the least recently answered ones are dropped. */
internal class AnsweredParts(
    private val policy: QuarantinePolicy,
) {
    private val answeredAt = LinkedHashMap<String, Duration>()

    /** Records an answer at [at], unless a later one is known. */
    fun add(
        part: String,
        at: Duration,
    ) {
        // Removed first, so that the order of the map is about that of the last answers.
        val earlier = answeredAt.remove(part)
        answeredAt[part] = maxOf(at, earlier ?: at)
        if (answeredAt.size > policy.maxAnsweredParts) answeredAt.remove(answeredAt.keys.first())
    }

    /** Whether a call that contains [part] was answered within [QuarantinePolicy.answeredWindow] before [now]. */
    fun contains(
        part: String,
        now: Duration,
    ): Boolean = ageOf(part, now) != null

    /** The time since the last answer, or null if it is longer than [QuarantinePolicy.answeredWindow]. */
    fun ageOf(
        part: String,
        now: Duration,
    ): Duration? = answeredAt[part]?.let { now - it }?.takeIf { it < policy.answeredWindow }
}
