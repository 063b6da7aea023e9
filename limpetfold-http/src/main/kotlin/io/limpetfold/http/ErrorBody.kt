package io.limpetfold.http

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonObject

/** The JSON body of error responses. */
object ErrorBody {
    /** The header fields that go with the body. */
    val HEADERS: Headers = Headers.of("Content-Type" to "application/json")

    /**
     * Encodes an error.
     *
     * @param ran whether the request ran: `no`, `yes` or `unknown`.
     */
    fun encode(
        type: String,
        message: String,
        remedy: String,
        ran: String,
        requestId: String? = null,
    ): ByteArray =
        buildJsonObject {
            putJsonObject("error") {
                put("type", type)
                put("message", message)
                put("remedy", remedy)
                put("ran", ran)
                put("requestId", requestId)
            }
        }.toString().encodeToByteArray()
}
