package io.limpetfold.router.chat

import io.limpetfold.json.JsonDepth
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.longOrNull

/** One parsed server-sent event of a model stream. */
internal sealed interface ChatEvent {
    /**
     * A part of the response.
     *
     * @property completionTokens the engine's count of the tokens generated so far, or null when the event has none.
     * @property id the engine's identity of the response, or null when the event has none.
     */
    data class Delta(
        val content: String,
        val finishReason: String?,
        val completionTokens: Long?,
        val id: String? = null,
    ) : ChatEvent

    /** The token counts that the engine reports for the whole request. */
    data class Usage(
        val promptTokens: Long,
        val completionTokens: Long,
    ) : ChatEvent

    /** An error that the engine reports within the stream. */
    data class Failure(
        val message: String,
    ) : ChatEvent

    /** The `[DONE]` event: the stream is complete. */
    data object Done : ChatEvent

    /** Data that is not an event of a chat stream. */
    data object Malformed : ChatEvent

    companion object {
        private const val DONE = "[DONE]"

        /** Parses the data of one event. */
        fun parse(data: String): ChatEvent {
            if (data == DONE) return Done
            if (JsonDepth.isExceeded(data)) return Malformed
            val content =
                try {
                    Json.parseToJsonElement(data) as? JsonObject
                } catch (_: SerializationException) {
                    null
                } ?: return Malformed
            content["error"]?.let { return Failure((it as? JsonObject)?.text("message") ?: it.toString()) }
            val usage = content["usage"] as? JsonObject
            val completionTokens = usage?.number("completion_tokens")
            val choice = (content["choices"] as? JsonArray)?.firstOrNull() as? JsonObject
            if (choice == null) {
                val promptTokens = usage?.number("prompt_tokens") ?: return Malformed
                return Usage(promptTokens, completionTokens ?: return Malformed)
            }
            val delta = choice["delta"] as? JsonObject
            return Delta(
                delta?.text("content").orEmpty(),
                choice.text("finish_reason"),
                completionTokens,
                content.text("id"),
            )
        }

        private fun JsonObject.text(name: String): String? = primitive(this[name])?.contentOrNull

        private fun JsonObject.number(name: String): Long? = primitive(this[name])?.longOrNull

        private fun primitive(element: JsonElement?): JsonPrimitive? = element as? JsonPrimitive
    }
}
