package io.limpetfold.standins

import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Encodes responses and events of the chat completions API as JSON. */
internal object EngineJson {
    /** The text of one generated token. */
    fun text(index: Int): String = "t$index "

    fun token(stream: EngineStream): String =
        buildJsonObject {
            put("id", stream.requestId)
            put("object", "chat.completion.chunk")
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    putJsonObject("delta") { put("content", text(stream.generatedTokens)) }
                }
            }
        }.toString()

    fun usage(stream: EngineStream): String =
        buildJsonObject {
            put("id", stream.requestId)
            put("object", "chat.completion.chunk")
            putJsonArray("choices") {}
            putUsage(stream)
        }.toString()

    fun completion(stream: EngineStream): String =
        buildJsonObject {
            put("id", stream.requestId)
            put("object", "chat.completion")
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    put("finish_reason", "length")
                    putJsonObject("message") {
                        put("role", "assistant")
                        put("content", (1..stream.generatedTokens).joinToString("") { text(it) })
                    }
                }
            }
            putUsage(stream)
        }.toString()

    /** The state of a stream and its token usage. */
    fun state(stream: EngineStream): String =
        buildJsonObject {
            put("id", stream.requestId)
            put("state", stream.state.name.lowercase())
            putUsage(stream)
        }.toString()

    private fun JsonObjectBuilder.putUsage(stream: EngineStream) {
        putJsonObject("usage") {
            put("prompt_tokens", stream.promptTokens)
            put("completion_tokens", stream.generatedTokens)
            put("total_tokens", stream.promptTokens + stream.generatedTokens)
        }
    }
}
