package io.limpetfold.dispatch

import kotlinx.collections.immutable.ImmutableList

/**
 * What a model request needs of an engine.
 *
 * @property parts the prompt in order; the last part belongs to the request or its session.
 */
data class PromptDemand(
    val inputTokens: Int,
    val maxOutputTokens: Int,
    val parts: ImmutableList<PromptPart>,
) {
    /** The most tokens that the request can consume. */
    val maxTokens: Long get() = inputTokens.toLong() + maxOutputTokens

    /** The part by which requests of one session are sent to the same engine, or null when nothing is shared. */
    val affinityKey: String?
        get() = parts.lastOrNull()?.id
}
