package io.limpetfold.quarantine

import io.limpetfold.core.EndpointId
import java.time.Duration

/** Recent crashes of endpoints and the prompts of the calls that they ran, merged from the reports of all routers. */
internal class CrashHistory(
    private val policy: QuarantinePolicy,
) {
    private val crashes = ArrayDeque<Crash>()

    val isEmpty: Boolean get() = crashes.isEmpty()

    /** All parts of the prompts in the history. */
    val parts: Set<String> get() = crashes.flatMapTo(mutableSetOf()) { it.prompts.flatten() }

    /** Whether a prompt in the history contains [part]. */
    operator fun contains(part: String): Boolean = crashes.any { crash -> crash.prompts.any { part in it } }

    /** Adds [prompts] to the crash of [endpoint] at about [at]; returns whether anything was new. */
    fun add(
        endpoint: EndpointId,
        at: Duration,
        prompts: Collection<List<String>>,
    ): Boolean {
        // The store does not tell when a restored crash was: a crash from before it was read is taken for the same.
        crashes.removeAll { it.endpoint == endpoint && it.restoredAt != null && at < it.restoredAt }
        val known = crashes.find { it.endpoint == endpoint && (it.at - at).abs() < policy.sameCrashWindow }
        if (known != null) return known.prompts.addAll(prompts.take(MAX_PROMPTS - known.prompts.size))
        if (crashes.size >= policy.maxCrashes) crashes.remove(crashes.minBy { it.at })
        crashes += Crash(endpoint, at, prompts.take(MAX_PROMPTS).toMutableSet())
        return true
    }

    /**
     * Adds [restored] crashes, which were read from the store at [now]. Those of an endpoint with known crashes only add
     * their prompts to its last one, because they may be the same.
     */
    fun restore(
        restored: List<Crash>,
        now: Duration,
    ) {
        val known = crashes.groupBy { it.endpoint }.mapValues { (_, own) -> own.maxBy { it.at }.prompts }
        for (crash in restored) {
            val prompts = known[crash.endpoint]
            if (prompts != null) {
                prompts.addAll(crash.prompts.take(MAX_PROMPTS - prompts.size))
            } else if (crashes.size < policy.maxCrashes) {
                crashes += crash.copy(restoredAt = now)
            }
        }
    }

    /** Forgets the crashes before [start]. */
    fun removeBefore(start: Duration) {
        crashes.removeAll { it.at < start }
    }

    /** The crashes that ran a call with a prompt that [isRelevant] accepts, with these prompts only. */
    fun select(isRelevant: (List<String>) -> Boolean): List<Crash> =
        crashes.mapNotNull { crash ->
            val prompts = crash.prompts.filterTo(mutableSetOf(), isRelevant)
            if (prompts.isEmpty()) null else crash.copy(prompts = prompts)
        }

    /**
     * One crash of [endpoint] at monotonic time [at].
     *
     * @property prompts the shared parts of the calls that it ran.
     * @property restoredAt when the crash was read from the store; null for a crash that a router has seen.
     */
    data class Crash(
        val endpoint: EndpointId,
        val at: Duration,
        val prompts: MutableSet<List<String>>,
        val restoredAt: Duration? = null,
    )

    private companion object {
        /** Calls of one crash that are kept; an endpoint runs few dozens at a time. */
        const val MAX_PROMPTS = 64
    }
}
