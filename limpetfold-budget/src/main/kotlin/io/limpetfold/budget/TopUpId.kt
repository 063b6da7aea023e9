package io.limpetfold.budget

import kotlinx.serialization.Serializable

/**
 * Identity of a top-up: its date and a reference, as in `2026-01-31/invoice-7`.
 *
 * A retry repeats the whole identity. The date gives old identities an order by which the ledger compacts them.
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

    /** The date part; its text order is the order of the dates. */
    val date: String get() = value.take(DATE_LENGTH)

    override fun toString(): String = value

    private companion object {
        const val DATE_LENGTH = 10
        val PATTERN = Regex("""\d{4}-\d{2}-\d{2}/[A-Za-z0-9._-]{1,64}""")
    }
}
