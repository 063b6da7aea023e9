package io.limpetfold.claim

import kotlinx.serialization.Serializable

/** The response body of a completed call, kept for duplicate calls. */
@Serializable
internal data class ClaimBody(
    val token: String,
    val storedAtMillis: Long,
    val contentType: String,
    val body: String,
) {
    /** An upper bound of the stored size; a character that JSON escapes takes at most six bytes. */
    val sizeBytes: Int get() = (body.length + contentType.length) * MAX_BYTES_PER_CHARACTER + OVERHEAD_BYTES

    private companion object {
        const val MAX_BYTES_PER_CHARACTER = 6
        const val OVERHEAD_BYTES = 160
    }
}
