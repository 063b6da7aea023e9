package io.limpetfold.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * How a route treats calls of one method and path.
 *
 * @property path absolute path; a segment such as `{id}` matches any single non-empty segment.
 * @property isRepeatable whether the call may be retried after an unknown outcome.
 * @property isIdempotencyKeyRequired whether a call without an `Idempotency-Key` is refused.
 */
@Serializable
data class CallRule(
    @AllowedPattern(AllowedPattern.METHOD)
    val method: String,
    @AllowedPattern(AllowedPattern.PATH_TEMPLATE)
    val path: String,
    val isRepeatable: Boolean,
    @SerialName("isKeyRequired")
    val isIdempotencyKeyRequired: Boolean = false,
) {
    /** Whether this rule applies to a call. */
    fun matches(
        method: String,
        path: String,
    ): Boolean {
        if (method != this.method) return false
        val expected = this.path.split('/')
        val actual = path.split('/')
        return expected.size == actual.size &&
            expected.zip(actual).all { (rule, segment) ->
                rule == segment ||
                    (rule.startsWith("{") && segment.isNotEmpty())
            }
    }
}
