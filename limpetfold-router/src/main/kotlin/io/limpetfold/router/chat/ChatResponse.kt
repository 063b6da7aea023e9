package io.limpetfold.router.chat

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Builds the JSON of responses in the chat-completions format. */
internal object ChatResponse {
    /** The data of the event that reports a response truncated at the reserved output limit. */
    fun truncationEvent(id: String): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("choices", buildJsonArray { add(truncatedChoice()) })
        }.toString()

    /** The data of the last event before `[DONE]`: the usage as billed. */
    fun usageEvent(
        id: String,
        meter: TokenMeter,
    ): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("choices", buildJsonArray {})
            put("usage", usage(meter))
        }.toString()

    /** The data of the event that ends a stream which can't be completed. */
    fun errorEvent(
        type: String,
        message: String,
        requestId: String,
    ): String =
        buildJsonObject {
            put(
                "error",
                buildJsonObject {
                    put("type", type)
                    put("message", message)
                    put("ran", "yes")
                    put("requestId", requestId)
                },
            )
        }.toString()

    /** The body of the response to a request without streaming. */
    fun completion(
        id: String,
        model: String,
        content: String,
        finishReason: String,
        meter: TokenMeter,
    ): ByteArray =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion")
            put("model", model)
            put("choices", buildJsonArray { add(choice(content, finishReason)) })
            put("usage", usage(meter))
        }.toString().encodeToByteArray()

    private fun truncatedChoice(): JsonObject =
        buildJsonObject {
            put("index", 0)
            put("delta", buildJsonObject {})
            put("finish_reason", "length")
        }

    private fun choice(
        content: String,
        finishReason: String,
    ): JsonObject =
        buildJsonObject {
            put("index", 0)
            put(
                "message",
                buildJsonObject {
                    put("role", "assistant")
                    put("content", content)
                },
            )
            put("finish_reason", finishReason)
        }

    private fun usage(meter: TokenMeter): JsonObject =
        buildJsonObject {
            val completionTokens = meter.billableCompletionTokens
            val promptTokens = meter.billableTokens - completionTokens
            put("prompt_tokens", promptTokens)
            put("completion_tokens", completionTokens)
            put("total_tokens", meter.billableTokens)
        }
}
