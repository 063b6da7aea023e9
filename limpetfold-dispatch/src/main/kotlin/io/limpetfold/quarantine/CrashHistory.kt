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
        val known = crashes.find { it.endpoint == endpoint && (it.at - at).abs() < policy.sameCrashWindow }
        if (known != null) return known.prompts.addAll(prompts.take(MAX_PROMPTS - known.prompts.size))
        if (crashes.size >= policy.maxCrashes) crashes.remove(crashes.minBy { it.at })
        crashes += Crash(endpoint, at, prompts.take(MAX_PROMPTS).toMutableSet())
        return true
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

    /** One crash of [endpoint] at monotonic time [at]; [prompts] are the shared parts of the calls that it ran. */
    data class Crash(
        val endpoint: EndpointId,
        val at: Duration,
        val prompts: MutableSet<List<String>>,
    )

    private companion object {
        /** Calls of one crash that are kept; an endpoint runs few dozens at a time. */
        const val MAX_PROMPTS = 64
    }
}
