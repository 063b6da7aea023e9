package io.limpetfold.claim

/**
 * The response of a completed call, as recorded for duplicate calls.
 *
 * @property body the response body as text, or null when it is not kept; long bodies are dropped.
 */
data class RecordedResponse(
    val status: Int,
    val contentType: String = "application/json",
    val body: String? = null,
) {
    init {
        require(status in VALID_STATUS) { "status $status is not a final HTTP status" }
    }

    private companion object {
        val VALID_STATUS = 200..599
    }
}
