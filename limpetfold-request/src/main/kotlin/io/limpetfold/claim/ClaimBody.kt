package io.limpetfold.claim

import kotlinx.serialization.Serializable

/** The body of a finished call, kept for duplicates. */
@Serializable
internal data class ClaimBody(
    val token: String,
    val storedAtMillis: Long,
    val contentType: String,
    val body: String,
) {
    /** An upper bound on the stored size: a character takes at most six bytes when JSON escapes it. */
    val sizeBytes: Int get() = (body.length + contentType.length) * MAX_BYTES_PER_CHARACTER + OVERHEAD_BYTES

    private companion object {
        const val MAX_BYTES_PER_CHARACTER = 6
        const val OVERHEAD_BYTES = 160
    }
}
