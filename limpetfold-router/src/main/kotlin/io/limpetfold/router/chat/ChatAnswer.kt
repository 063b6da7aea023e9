package io.limpetfold.router.chat

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Builds the JSON of answers in the chat-completions shape. */
internal object ChatAnswer {
    /** The data of an event that ends an answer at the reserved output. */
    fun cutEvent(id: String): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("choices", buildJsonArray { add(cutChoice()) })
        }.toString()

    /** The data of the last event before the end mark: the usage as billed. */
    fun usageEvent(
        id: String,
        meter: AnswerMeter,
    ): String =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion.chunk")
            put("choices", buildJsonArray {})
            put("usage", usage(meter))
        }.toString()

    /** The data of an event that ends a stream which can't be completed. */
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

    /** The body of an answer to a request without streaming. */
    fun whole(
        id: String,
        model: String,
        content: String,
        finishReason: String,
        meter: AnswerMeter,
    ): ByteArray =
        buildJsonObject {
            put("id", id)
            put("object", "chat.completion")
            put("model", model)
            put("choices", buildJsonArray { add(choice(content, finishReason)) })
            put("usage", usage(meter))
        }.toString().encodeToByteArray()

    private fun cutChoice(): JsonObject =
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

    private fun usage(meter: AnswerMeter): JsonObject =
        buildJsonObject {
            val completionTokens = meter.usedCompletionTokens
            val promptTokens = meter.usedTokens - completionTokens
            put("prompt_tokens", promptTokens)
            put("completion_tokens", completionTokens)
            put("total_tokens", meter.usedTokens)
        }
}
