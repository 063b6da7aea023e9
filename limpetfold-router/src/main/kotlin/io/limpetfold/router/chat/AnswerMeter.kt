package io.limpetfold.router.chat

/**
 * Counts what an engine generated for one request and tells when the reservation is used up.
 *
 * An event counts as one token at least, so that an engine that sends no counts can't generate past the reservation unnoticed. Not thread-safe.
 *
 * @param maxCompletionTokens the output limit that was reserved.
 * @param promptBoundTokens the reserved bound of the prompt, billed when the engine never reports its count.
 */
internal class AnswerMeter(
    private val maxCompletionTokens: Long,
    private val promptBoundTokens: Long,
) {
    private var eventTokens = 0L
    private var reportedPromptTokens: Long? = null
    private var reportedCompletionTokens = 0L

    /** Content events that were counted; a stream is resumed after this number. */
    var eventCount = 0L
        private set

    val completionTokens: Long get() = maxOf(eventTokens, reportedCompletionTokens)

    /** The prompt tokens that the engine reported, or null. */
    val measuredPromptTokens: Long? get() = reportedPromptTokens

    /** The output tokens to charge, at most what was reserved for the output. */
    val usedCompletionTokens: Long get() = minOf(completionTokens, maxCompletionTokens)

    /** The tokens to charge for the request, at most the whole reservation. */
    val usedTokens: Long
        get() {
            val promptTokens = reportedPromptTokens ?: promptBoundTokens
            return minOf(promptTokens + usedCompletionTokens, promptBoundTokens + maxCompletionTokens)
        }

    /** True when the reserved output is used up and the stream must be cut. */
    val isExhausted: Boolean get() = completionTokens >= maxCompletionTokens

    /** Takes a part of the answer; returns false when it lies beyond the reservation and must not be passed on. */
    fun accept(delta: ChatEvent.Delta): Boolean {
        eventCount++
        if (delta.content.isEmpty()) return true
        if (isExhausted) return false
        eventTokens++
        delta.completionTokens?.let { reportedCompletionTokens = maxOf(reportedCompletionTokens, it) }
        return completionTokens <= maxCompletionTokens
    }

    /** Takes the engine's own count. */
    fun accept(usage: ChatEvent.Usage) {
        reportedPromptTokens = usage.promptTokens
        reportedCompletionTokens = maxOf(reportedCompletionTokens, usage.completionTokens)
    }
}
