package io.limpetfold.dispatch

import kotlinx.collections.immutable.ImmutableList

/**
 * The resources that a model request needs at an engine.
 *
 * @property parts the prompt in order: first the parts that many requests share, then the session's part, last the
 * part of this request alone.
 */
data class PromptDemand(
    val inputTokens: Int,
    val maxOutputTokens: Int,
    val parts: ImmutableList<PromptPart>,
) {
    /** The maximum number of tokens that the request can consume. */
    val maxTokens: Long get() = inputTokens.toLong() + maxOutputTokens

    /**
     * The id of the last part that other requests share, by which requests of one session go to the same engine; null
     * without parts.
     */
    val affinityKey: String?
        get() = (parts.getOrNull(parts.size - 2) ?: parts.lastOrNull())?.id
}
