package io.limpetfold.quarantine

/**
 * Bounds of a [StoredQuarantine]. What counts most is kept: quarantines, then the crashes with the parts that have the
 * most evidence. Ties are decided by name, so that routers that know the same select the same.
 */
internal object StoredQuarantineLimits {
    private const val MAX_CRASHES = 16

    /** Length of all names of parts together; the store accepts values of 1 MB. */
    private const val MAX_CHARS = 64 * 1024

    /** Selects what is stored. */
    fun select(
        crashes: List<CrashReport>,
        quarantined: List<QuarantinedPartReport>,
    ): StoredQuarantine {
        val evidence = crashes.flatMap { it.prompts.flatten().toSet() }.groupingBy { it }.eachCount()
        val budget = CharBudget(MAX_CHARS)
        val keptParts = quarantined.sortedBy { it.part }.filter { budget.take(it.part.length) }
        val byEvidence = compareByDescending<List<String>> { prompt -> prompt.maxOf { evidence[it] ?: 0 } }
        val keptCrashes =
            crashes
                .map { it.copy(prompts = it.prompts.sortedWith(byEvidence.thenBy { p -> p.toString() }).toSet()) }
                .sortedWith(
                    compareBy(byEvidence) { crash: CrashReport -> crash.prompts.first() }.thenBy { it.endpoint.value },
                ).take(MAX_CRASHES)
                .map { crash ->
                    crash.copy(prompts = crash.prompts.filterTo(LinkedHashSet()) { budget.take(sizeOf(it)) })
                }.filter { it.prompts.isNotEmpty() }
        return StoredQuarantine(keptCrashes, keptParts)
    }

    private fun sizeOf(prompt: List<String>) = prompt.sumOf { it.length }

    private class CharBudget(
        private var remaining: Int,
    ) {
        fun take(chars: Int): Boolean {
            if (chars > remaining) return false
            remaining -= chars
            return true
        }
    }
}
