package io.limpetfold.quarantine

import io.limpetfold.core.EndpointId
import io.limpetfold.dispatch.PromptDemand
import java.time.Duration

/**
 * Finds shared prompt parts on which endpoints crash, so that calls that contain them are refused instead of crashing one
 * endpoint after the other. Not safe for concurrent use.
 *
 * A crash is evidence against each shared part of the calls that the endpoint ran. An answered call clears its parts, so
 * what remains is the part that the crashed calls have in common. Routers exchange [report]s, because each of them sees
 * few of the crashes. The last part of a prompt belongs to one request alone and is never evidence.
 *
 * All times are monotonic times of this process.
 */
class PromptPartQuarantine(
    private val policy: QuarantinePolicy = QuarantinePolicy(),
    private val listener: QuarantineListener = QuarantineListener.NONE,
) {
    private val history = CrashHistory(policy)
    private val answered = AnsweredParts(policy)
    private val quarantines = LinkedHashMap<String, Quarantine>()

    /** Increases with each change of the [report] that other routers should hear of. */
    var revision: Long = 0
        private set

    /** How long a crash counts. */
    val crashWindow: Duration get() = policy.crashWindow

    /** Increases with each crash, and with each answer that ends a quarantine, that this router saw itself. */
    var ownRevision: Long = 0
        private set

    /** Whether there is anything to tell other routers. */
    val hasEvidence: Boolean get() = !history.isEmpty || quarantines.isNotEmpty()

    /** The part of [prompt] for which a call is refused at [now], or null. */
    fun quarantinedPartOf(
        prompt: PromptDemand,
        now: Duration,
    ): String? {
        if (quarantines.isEmpty()) return null
        return sharedPartsOf(prompt).find { isQuarantined(it, now) }
    }

    /** Whether calls with [prompt] are refused at [now]; false for a call without a prompt. */
    fun blocks(
        prompt: PromptDemand?,
        now: Duration,
    ): Boolean = prompt != null && quarantinedPartOf(prompt, now) != null

    /** Whether a retry of a call with [prompt] would risk a further crash by the same part. */
    fun isSuspect(
        prompt: PromptDemand?,
        now: Duration,
    ): Boolean {
        if (prompt == null) return false
        val crashes = history.select { parts -> !isExplained(parts, now) }
        return sharedPartsOf(prompt).any { part ->
            !answered.contains(part, now) && evidenceOf(part, crashes).count >= policy.minSuspectCrashes
        }
    }

    /** The parts in quarantine at [now]. */
    fun quarantinedParts(now: Duration): List<String> = quarantines.keys.filter { isQuarantined(it, now) }

    /** Records that the connection to [endpoint] ended while it ran a call with [prompt]. */
    fun onConnectionLost(
        endpoint: EndpointId,
        prompt: PromptDemand,
        now: Duration,
    ) {
        val parts = sharedPartsOf(prompt)
        if (parts.all { answered.contains(it, now) }) return
        if (!history.add(endpoint, now, listOf(parts))) return
        ownRevision++
        onEvidence(now)
    }

    /** Records that a call with [prompt] was answered in full. */
    fun onAnswered(
        prompt: PromptDemand,
        now: Duration,
    ) {
        val before = quarantines.size
        sharedPartsOf(prompt).forEach { clear(it, answeredAt = now, now) }
        if (quarantines.size < before) ownRevision++
    }

    /** What this router knows at [now], for other routers. */
    fun report(now: Duration): QuarantineReport {
        removeExpired(now)
        val crashes =
            history
                .select { prompt -> prompt.any { !answered.contains(it, now) } }
                .filter { it.restoredAt == null }
        val quarantined = quarantines.filterKeys { isQuarantined(it, now) }
        val parts = history.parts + quarantined.keys
        return QuarantineReport(
            crashes.map { CrashReport(it.endpoint, (now - it.at).toMillis(), it.prompts) },
            quarantined.map { (part, it) ->
                QuarantinedPartReport(part, (it.until - now).toMillis(), it.duration.toMillis())
            },
            parts.mapNotNull { part -> answered.ageOf(part, now)?.let { part to it.toMillis() } }.toMap(),
        )
    }

    /** Adds what another router knows. */
    fun merge(
        report: QuarantineReport,
        now: Duration,
    ) {
        report.answerAgeMillis.forEach { (part, ageMillis) -> clear(part, now - Duration.ofMillis(ageMillis), now) }
        val added = report.crashes.count { history.add(it.endpoint, now - Duration.ofMillis(it.ageMillis), it.prompts) }
        for (reported in report.quarantined) {
            val duration = Duration.ofMillis(reported.durationMillis)
            val until = now + minOf(Duration.ofMillis(reported.remainingMillis), duration)
            val isKnown = answered.contains(reported.part, now) || isQuarantined(reported.part, now)
            if (!isKnown && quarantines.size < policy.maxQuarantinedParts) {
                quarantine(reported.part, until, minOf(duration, policy.maxQuarantine), crashes = 0)
            }
        }
        if (added > 0) onEvidence(now)
    }

    /** Whether a call with [part] was answered a short time ago, so that the part is harmless. */
    fun isAnswered(
        part: String,
        now: Duration,
    ): Boolean = answered.contains(part, now)

    /** What the store must hold, so that a restart of all routers at [now] forgets nothing that matters. */
    fun stored(now: Duration): StoredQuarantine {
        removeExpired(now)
        val unexplained = history.select { prompt -> !isExplained(prompt, now) }
        val crashes =
            unexplained.mapNotNull { crash ->
                val prompts = crash.prompts.map { withoutAnswered(it, now) }.filterTo(HashSet()) { it.isNotEmpty() }
                if (prompts.isEmpty()) null else CrashReport(crash.endpoint, (now - crash.at).toMillis(), prompts)
            }
        return StoredQuarantineLimits.select(
            crashes,
            quarantines.map { (part, it) ->
                QuarantinedPartReport(part, (it.until - now).toMillis(), it.duration.toMillis())
            },
        )
    }

    /**
     * Adds what the store held when it was read at [now]. Restored crashes are not reported to other routers, which read
     * the store themselves: without a common clock they could not tell them from later ones.
     */
    fun restore(
        stored: StoredQuarantine,
        now: Duration,
    ) {
        val crashes =
            stored.crashes.mapNotNull { crash ->
                val prompts = crash.prompts.map { withoutAnswered(it, now) }.filterTo(HashSet()) { it.isNotEmpty() }
                val at = now - Duration.ofMillis(crash.ageMillis)
                if (prompts.isEmpty()) null else CrashHistory.Crash(crash.endpoint, at, prompts)
            }
        history.restore(crashes, now)
        stored.quarantined.forEach { restoreQuarantine(it, now) }
        quarantineCandidates(now)
    }

    private fun restoreQuarantine(
        stored: QuarantinedPartReport,
        now: Duration,
    ) {
        if (answered.contains(stored.part, now)) return
        val duration = minOf(Duration.ofMillis(stored.durationMillis), policy.maxQuarantine)
        val until = now + minOf(Duration.ofMillis(stored.remainingMillis), duration)
        val known = quarantines[stored.part]
        when {
            known == null && quarantines.size >= policy.maxQuarantinedParts -> return
            known != null && known.duration > duration -> return
            // The earlier end of one quarantine is right, because a read prolongs it.
            known != null && known.duration == duration ->
                quarantines[stored.part] = Quarantine(minOf(known.until, until), duration)
            until > now -> quarantine(stored.part, until, duration, crashes = 0)
            else -> quarantines[stored.part] = Quarantine(until, duration)
        }
    }

    private fun withoutAnswered(
        prompt: List<String>,
        now: Duration,
    ) = prompt.filterNot { answered.contains(it, now) }

    private fun onEvidence(now: Duration) {
        revision++
        quarantineCandidates(now)
    }

    private fun quarantineCandidates(now: Duration) {
        removeExpired(now)
        while (quarantines.size < policy.maxQuarantinedParts) {
            val crashes = history.select { prompt -> !isExplained(prompt, now) }
            val candidate = candidates(crashes, now).maxWithOrNull(MOST_SPECIFIC) ?: return
            val duration = nextDuration(candidate.part)
            quarantine(candidate.part, now + duration, duration, candidate.count)
        }
    }

    /** The parts with enough evidence in [crashes] that are contained in no answered call. */
    private fun candidates(
        crashes: List<CrashHistory.Crash>,
        now: Duration,
    ): List<Evidence> =
        crashes
            .flatMap { it.prompts }
            .flatten()
            .toSet()
            .filter { !answered.contains(it, now) }
            .map { evidenceOf(it, crashes) }
            .filter { isSufficient(it) }

    private fun isSufficient(evidence: Evidence): Boolean {
        val earlier = quarantines[evidence.part]
        if (earlier != null) return evidence.lastAt > earlier.until
        return evidence.count >= policy.minCrashes && evidence.endpoints >= policy.minEndpoints
    }

    private fun evidenceOf(
        part: String,
        crashes: List<CrashHistory.Crash>,
    ): Evidence {
        val own = crashes.filter { crash -> crash.prompts.any { part in it } }.sortedBy { it.at }
        val times = own.map { it.at }
        val pauses = times.zipWithNext().count { (earlier, later) -> later - earlier >= policy.simultaneousWindow }
        return Evidence(
            part,
            count = if (own.isEmpty()) 0 else pauses + 1,
            endpoints = own.distinctBy { it.endpoint }.size,
            lastAt = times.lastOrNull() ?: Duration.ZERO,
            position = own.flatMap { it.prompts }.maxOfOrNull { it.indexOf(part) } ?: -1,
        )
    }

    /** Whether [prompt] contains a part that is in quarantine, so that it is no evidence against its other parts. */
    private fun isExplained(
        prompt: List<String>,
        now: Duration,
    ): Boolean = prompt.any { isQuarantined(it, now) }

    private fun isQuarantined(
        part: String,
        now: Duration,
    ): Boolean = quarantines[part]?.let { now < it.until } ?: false

    private fun nextDuration(part: String): Duration =
        quarantines[part]?.let { minOf(it.duration.multipliedBy(2), policy.maxQuarantine) } ?: policy.firstQuarantine

    private fun quarantine(
        part: String,
        until: Duration,
        duration: Duration,
        crashes: Int,
    ) {
        quarantines.remove(part)
        quarantines[part] = Quarantine(until, duration)
        revision++
        listener.onQuarantined(part, crashes)
    }

    private fun clear(
        part: String,
        answeredAt: Duration,
        now: Duration,
    ) {
        val wasAnswered = answered.contains(part, now)
        answered.add(part, answeredAt)
        if (!answered.contains(part, now)) return
        if (!wasAnswered && part in history) revision++
        if (quarantines.remove(part) == null) return
        revision++
        listener.onReleased(part)
    }

    private fun removeExpired(now: Duration) {
        history.removeBefore(now - policy.crashWindow)
        quarantines.values.removeIf { now >= it.until + it.duration }
    }

    private fun sharedPartsOf(prompt: PromptDemand): List<String> = prompt.parts.dropLast(1).map { it.id }

    private class Quarantine(
        val until: Duration,
        val duration: Duration,
    )

    /** The crashes that speak against [part]; [position] is its place in the prompts. */
    private class Evidence(
        val part: String,
        val count: Int,
        val endpoints: Int,
        val lastAt: Duration,
        val position: Int,
    )

    private companion object {
        /**
         * Of parts with equal evidence the later one is taken, since fewer calls contain it. If it is the wrong one, the
         * crashes go on and the earlier one follows.
         */
        val MOST_SPECIFIC: Comparator<Evidence> = compareBy<Evidence> { it.count }.thenBy { it.position }
    }
}
