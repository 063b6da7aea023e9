package io.limpetfold.router.chat

/**
 * Counts the tokens that an engine generated for one request and detects when the reservation is used up.
 *
 * Each event with content counts as at least one token, so that an engine that sends no counts can't exceed the
 * reservation unnoticed.
 *
 * Not thread-safe.
 *
 * @param maxCompletionTokens the output limit that was reserved.
 * @param maxPromptTokens the reserved bound of the prompt, billed when the engine never reports its own count.
 */
internal class TokenMeter(
    private val maxCompletionTokens: Long,
    private val maxPromptTokens: Long,
) {
    private var eventTokens = 0L
    private var reportedPromptTokens: Long? = null
    private var reportedCompletionTokens = 0L

    /** The number of deltas received; a broken stream is resumed after this many events. */
    var eventCount = 0L
        private set

    /** The generated tokens: the higher of the events counted here and the count that the engine reported. */
    val completionTokens: Long get() = maxOf(eventTokens, reportedCompletionTokens)

    /** The prompt tokens that the engine reported, or null when it has not reported any. */
    val measuredPromptTokens: Long? get() = reportedPromptTokens

    /** The output tokens to charge, at most the reserved output limit. */
    val billableCompletionTokens: Long get() = minOf(completionTokens, maxCompletionTokens)

    /** The tokens to charge for the request, at most the whole reservation. */
    val billableTokens: Long
        get() {
            val promptTokens = reportedPromptTokens ?: maxPromptTokens
            return minOf(promptTokens + billableCompletionTokens, maxPromptTokens + maxCompletionTokens)
        }

    /** Whether the reserved output is used up, so that the stream must be truncated. */
    val isExhausted: Boolean get() = completionTokens >= maxCompletionTokens

    /** Counts a delta; returns false when it exceeds the reservation and must not be sent to the caller. */
    fun accept(delta: ChatEvent.Delta): Boolean {
        eventCount++
        if (delta.content.isEmpty()) return true
        if (isExhausted) return false
        eventTokens++
        delta.completionTokens?.let { reportedCompletionTokens = maxOf(reportedCompletionTokens, it) }
        return completionTokens <= maxCompletionTokens
    }

    /** Records the token counts that the engine reported. */
    fun accept(usage: ChatEvent.Usage) {
        reportedPromptTokens = usage.promptTokens
        reportedCompletionTokens = maxOf(reportedCompletionTokens, usage.completionTokens)
    }
}
