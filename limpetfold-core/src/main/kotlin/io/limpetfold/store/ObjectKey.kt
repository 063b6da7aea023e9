package io.limpetfold.store

import kotlinx.serialization.Serializable

/**
 * Identifies an object in the platform's object API, for example `budget/school-kitchen`.
 *
 * @property path segments separated by `/`; letters, digits, `.`, `_`, `-` and `@` only.
 */
@Serializable
@JvmInline
value class ObjectKey(
    val path: String,
) {
    init {
        require(
            PATTERN.matches(path),
        ) { "object key '$path' has a character outside [A-Za-z0-9._@-] or an empty segment" }
    }

    override fun toString(): String = path

    companion object {
        private val PATTERN = Regex("[A-Za-z0-9._@-]+(/[A-Za-z0-9._@-]+)*")
    }
}
