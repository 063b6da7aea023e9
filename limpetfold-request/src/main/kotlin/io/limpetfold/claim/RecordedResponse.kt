package io.limpetfold.claim

/**
 * How a claimed call ended.
 *
 * @property body the answer's body as text, or null when it is not kept; long bodies are dropped.
 */
data class RecordedResponse(
    val status: Int,
    val contentType: String = "application/json",
    val body: String? = null,
) {
    init {
        require(status in VALID_STATUS) { "status $status is no final HTTP status" }
    }

    private companion object {
        val VALID_STATUS = 200..599
    }
}
