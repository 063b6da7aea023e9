package io.limpetfold.budget

import kotlinx.serialization.Serializable

/**
 * The identity of a top-up: a date and a reference, as in `2026-01-31/invoice-7`.
 *
 * A retry must use the same identity. The ledger drops old identities in the order of their dates.
 */
@Serializable
@JvmInline
value class TopUpId(
    val value: String,
) {
    init {
        require(PATTERN.matches(value)) {
            "top-up identity '$value' is not a date and a reference of at most 64 characters, as in 2026-01-31/invoice-7"
        }
    }

    /** The date; the lexicographical order of dates is their chronological order. */
    val date: String get() = value.take(DATE_LENGTH)

    override fun toString(): String = value

    private companion object {
        const val DATE_LENGTH = 10
        val PATTERN = Regex("""\d{4}-\d{2}-\d{2}/[A-Za-z0-9._-]{1,64}""")
    }
}
