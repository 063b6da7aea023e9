package io.limpetfold.dispatch

import kotlinx.collections.immutable.ImmutableList

/**
 * What a model request needs of an engine.
 *
 * @property parts the prompt in order: parts that many requests share, the session's, and last what belongs to the request alone.
 */
data class PromptDemand(
    val inputTokens: Int,
    val maxOutputTokens: Int,
    val parts: ImmutableList<PromptPart>,
) {
    /** The most tokens that the request can consume. */
    val maxTokens: Long get() = inputTokens.toLong() + maxOutputTokens

    /** The last part that other requests share, by which the requests of a session go to the same engine; null when nothing is known. */
    val affinityKey: String?
        get() = (parts.getOrNull(parts.size - 2) ?: parts.lastOrNull())?.id
}
