package io.limpetfold.measure.demo

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long

/**
 * A streamed chat completion as a caller receives it.
 *
 * @property totalTokens the total of the usage block; 0 without one.
 * @property isComplete whether the stream had a usage block, ended with `[DONE]` and had no error event.
 */
internal data class StreamedResponse(
    val text: String,
    val totalTokens: Long,
    val isComplete: Boolean,
) {
    companion object {
        fun parse(body: String): StreamedResponse {
            val data =
                body
                    .lineSequence()
                    .filter {
                        it.startsWith(
                            "data:",
                        )
                    }.map { it.removePrefix("data:").trim() }
                    .toList()
            val events = data.filter { it != "[DONE]" }.map { Json.parseToJsonElement(it).jsonObject }
            val text = events.joinToString("") { content(it) }
            val usage =
                events
                    .lastOrNull {
                        it.containsKey(
                            "usage",
                        ) &&
                            it["usage"] is JsonObject
                    }?.get("usage")
                    ?.jsonObject
            val totalTokens = usage?.get("total_tokens")?.jsonPrimitive?.long ?: 0
            val hasError = events.any { it.containsKey("error") }
            return StreamedResponse(text, totalTokens, data.lastOrNull() == "[DONE]" && usage != null && !hasError)
        }

        private fun content(event: JsonObject): String {
            val choice = event["choices"]?.jsonArray?.firstOrNull()?.jsonObject ?: return ""
            val delta = choice["delta"]?.jsonObject ?: return ""
            return delta["content"]?.jsonPrimitive?.content.orEmpty()
        }
    }
}
