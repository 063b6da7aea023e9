package io.limpetfold.publish

import io.limpetfold.config.FleetConfig
import io.limpetfold.store.TypedObject
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * The differences between two configurations, one line per field; list items are identified by name instead of
 * position.
 */
internal object ConfigDiff {
    private val IDENTITY_KEYS = listOf("name", "route", "workspace", "version")
    private val HASH = Regex("[0-9a-f]{64}")
    private const val DISPLAYED_HASH_CHARS = 8

    /** Returns one line per difference, which starts with `+` (added), `-` (removed) or `~` (changed). */
    fun lines(
        old: FleetConfig?,
        new: FleetConfig,
    ): List<String> {
        val before = old?.let { flatten(it) }.orEmpty()
        val after = flatten(new)
        return (before.keys + after.keys).sorted().mapNotNull { path ->
            val from = before[path]
            val to = after[path]
            when {
                from == to -> null
                from == null -> "+ $path = $to"
                to == null -> "- $path = $from"
                else -> "~ $path: $from -> $to"
            }
        }
    }

    private fun flatten(config: FleetConfig): Map<String, String> {
        val tree = TypedObject.JSON.encodeToJsonElement(FleetConfig.serializer(), config) as JsonObject
        val content = JsonObject(tree - "generation" - "publication")
        return buildMap { flatten("", content, this) }
    }

    private fun flatten(
        path: String,
        element: JsonElement,
        target: MutableMap<String, String>,
    ) {
        when (element) {
            is JsonNull -> Unit
            is JsonPrimitive -> target[path] = shorten(element.content)
            is JsonObject ->
                element.forEach { (key, value) -> flatten(if (path.isEmpty()) key else "$path.$key", value, target) }
            is JsonArray -> element.forEach { flatten("$path[${identity(it)}]", it, target) }
        }
    }

    private fun identity(element: JsonElement): String =
        when (element) {
            is JsonObject -> {
                val key = IDENTITY_KEYS.firstOrNull { it in element }
                if (key != null) text(element, key) else "${text(element, "method")} ${text(element, "path")}"
            }
            is JsonPrimitive -> shorten(element.content)
            else -> element.toString()
        }

    private fun text(
        element: JsonObject,
        key: String,
    ): String = (element[key] as? JsonPrimitive)?.content.orEmpty()

    private fun shorten(text: String): String = if (HASH.matches(text)) "${text.take(DISPLAYED_HASH_CHARS)}.." else text
}
