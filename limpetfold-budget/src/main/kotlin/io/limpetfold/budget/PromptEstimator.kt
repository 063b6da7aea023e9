package io.limpetfold.budget

import java.util.concurrent.ConcurrentHashMap
import kotlin.math.ceil

/**
 * Bounds the tokens of a prompt by its bytes and a learned lower bound on bytes per token of each model.
 *
 * The bound starts at 1 byte per token, which is safe for byte-level tokenizers, and then follows the smallest ratio of
 * the last one to two windows of samples, less a margin. Billing never exceeds the reservation, so an estimate that is
 * too small shortens the output and never overspends the budget. Safe for concurrent use.
 *
 * @param marginFraction the fraction by which the bound is below the smallest ratio.
 * @param windowSamples the samples in a window; a full window is needed before the bound can rise above 1.
 */
class PromptEstimator(
    private val marginFraction: Double = 0.1,
    private val windowSamples: Int = 500,
) {
    private val ratios = ConcurrentHashMap<String, RatioWindow>()

    /** The largest number of tokens that a prompt of [promptBytes] UTF-8 bytes is expected to have. */
    fun maxPromptTokens(
        model: String,
        promptBytes: Long,
    ): Long = ceil(promptBytes / bytesPerToken(model)).toLong()

    /** The current lower bound on bytes per token of [model]. */
    fun bytesPerToken(model: String): Double = ratios[model]?.bound(marginFraction) ?: INITIAL_BYTES_PER_TOKEN

    /** Adds a sample: a prompt whose usage the endpoint reported. */
    fun observe(
        model: String,
        promptBytes: Long,
        promptTokens: Long,
    ) {
        if (promptBytes <= 0 || promptTokens <= 0) return
        if (!ratios.containsKey(model) && ratios.size >= MAX_MODELS) return
        val ratio = promptBytes.toDouble() / promptTokens
        ratios.compute(model) { _, window -> (window ?: RatioWindow()).plus(ratio, windowSamples) }
    }

    private data class RatioWindow(
        val previousMin: Double? = null,
        val currentMin: Double = Double.MAX_VALUE,
        val count: Int = 0,
    ) {
        fun plus(
            ratio: Double,
            windowSamples: Int,
        ): RatioWindow {
            val min = minOf(currentMin, ratio)
            return if (count + 1 < windowSamples) {
                copy(currentMin = min, count = count + 1)
            } else {
                RatioWindow(previousMin = min)
            }
        }

        fun bound(marginFraction: Double): Double =
            if (previousMin == null) {
                minOf(INITIAL_BYTES_PER_TOKEN, currentMin * (1 - marginFraction))
            } else {
                minOf(previousMin, currentMin) * (1 - marginFraction)
            }
    }

    private companion object {
        const val INITIAL_BYTES_PER_TOKEN = 1.0

        /** Bounds the memory when callers send names of models that do not exist. */
        const val MAX_MODELS = 256
    }
}
