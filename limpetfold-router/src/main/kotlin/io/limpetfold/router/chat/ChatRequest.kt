package io.limpetfold.router.chat

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.json.JsonDepth
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put

/**
 * A chat-completions request. The router parses only the fields that it needs and keeps the others for the engine.
 *
 * @property maxTokens the caller's output limit in tokens, or the default when the caller sets none.
 * @property promptBytes size of all fields that become part of the prompt, in UTF-8 bytes.
 */
internal class ChatRequest private constructor(
    private val content: JsonObject,
    val model: String,
    val isStream: Boolean,
    val maxTokens: Int,
    val promptBytes: Long,
) {
    /**
     * The request body for an engine. It always asks for a stream with usage, so that a broken response can be resumed
     * and a long one truncated.
     */
    fun toUpstreamBody(): ByteArray {
        val upstream =
            buildJsonObject {
                content.forEach { (name, value) -> put(name, value) }
                put("stream", true)
                put("max_tokens", maxTokens)
                put("stream_options", buildJsonObject { put("include_usage", true) })
            }
        return upstream.toString().encodeToByteArray()
    }

    companion object {
        private val PROMPT_FIELDS = setOf("messages", "tools", "functions", "response_format", "prompt")

        /** Parses [body]; the error is a message for the caller that names the field and the remedy. */
        fun parse(
            body: ByteArray,
            defaultMaxTokens: Int,
            maxTokensLimit: Int,
        ): Result<ChatRequest, String> {
            val text =
                try {
                    body.decodeToString(throwOnInvalidSequence = true)
                } catch (_: CharacterCodingException) {
                    return Err("the body is not UTF-8; send JSON in UTF-8")
                }
            if (JsonDepth.isExceeded(
                    text,
                )
            ) {
                return Err("the JSON is nested deeper than ${JsonDepth.MAX_LEVELS} levels; flatten it")
            }
            val content =
                try {
                    Json.parseToJsonElement(text) as? JsonObject
                } catch (_: SerializationException) {
                    null
                } ?: return Err("the body is not a JSON object; send a chat-completions request")
            return validate(content, defaultMaxTokens, maxTokensLimit)
        }

        private fun validate(
            content: JsonObject,
            defaultMaxTokens: Int,
            maxTokensLimit: Int,
        ): Result<ChatRequest, String> {
            val model = content.string("model") ?: return Err("field 'model' is missing; name the model as a string")
            val messages = content["messages"] as? JsonArray
            if (messages.isNullOrEmpty()) return Err("field 'messages' is missing or empty; send at least one message")
            val limitField = content["max_tokens"] ?: content["max_completion_tokens"]
            val maxTokens = if (limitField == null) defaultMaxTokens else (limitField as? JsonPrimitive)?.intOrNull
            if (maxTokens == null || maxTokens !in 1..maxTokensLimit) {
                return Err("field 'max_tokens' must be a whole number from 1 to $maxTokensLimit")
            }
            val choices = content["n"]
            if (choices != null && (choices as? JsonPrimitive)?.intOrNull != 1) {
                return Err("field 'n' must be 1; send one request for each answer")
            }
            val stream = content["stream"]
            val isStream = if (stream == null) false else (stream as? JsonPrimitive)?.booleanOrNull
            if (isStream == null) return Err("field 'stream' must be true or false")
            return Ok(ChatRequest(content, model, isStream, maxTokens, promptBytes(content)))
        }

        private fun promptBytes(content: JsonObject): Long =
            content.entries.filter { it.key in PROMPT_FIELDS }.sumOf { utf8Bytes(it.value) }

        private fun utf8Bytes(value: JsonElement): Long =
            value
                .toString()
                .encodeToByteArray()
                .size
                .toLong()

        private fun JsonObject.string(name: String): String? =
            (this[name] as? JsonPrimitive)?.takeIf { it.isString }?.content
    }
}
