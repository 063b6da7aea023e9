package io.limpetfold.config.yaml

import io.limpetfold.config.AllowedPattern
import io.limpetfold.config.AllowedRange
import io.limpetfold.config.StructureCheck
import io.limpetfold.store.TypedObject
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Reads the tables of `docs/settings.md`, so that the tests of each program can compare them with its settings class.
 */
@OptIn(ExperimentalSerializationApi::class)
object SettingsPage {
    /** Returns the table rows that the page has under [heading]: key, value, default and range. */
    fun documentedRows(heading: String): List<String> =
        RepositoryFiles
            .read("docs/settings.md")
            .substringAfter("\n## $heading\n")
            .substringBefore("\n#")
            .lines()
            .filter { it.startsWith("| `") }
            .map { line -> line.split(" | ").take(4).joinToString(" | ") }

    /** Returns the rows that the page must have for [serializer]; [minimal] has only the required fields, in JSON. */
    fun <T> expectedRows(
        serializer: KSerializer<T>,
        minimal: String,
    ): List<String> {
        val value = TypedObject.JSON.decodeFromString(serializer, minimal)
        val tree = TypedObject.JSON.encodeToJsonElement(serializer, value)
        return fields(serializer.descriptor, tree as JsonObject, "")
    }

    private fun fields(
        descriptor: SerialDescriptor,
        values: JsonObject,
        prefix: String,
    ): List<String> =
        (0 until descriptor.elementsCount).flatMap { index ->
            val element = descriptor.getElementDescriptor(index)
            val path = prefix + descriptor.getElementName(index)
            val value = values.getValue(descriptor.getElementName(index))
            val item = (value as? JsonArray)?.firstOrNull()
            when {
                element.kind == StructureKind.CLASS && value is JsonObject -> fields(element, value, "$path.")
                item is JsonObject ->
                    listOf(row(descriptor, index, path, value)) +
                        fields(element.getElementDescriptor(0), item, "$path[].")
                else -> listOf(row(descriptor, index, path, value))
            }
        }

    private fun row(
        descriptor: SerialDescriptor,
        index: Int,
        path: String,
        value: JsonElement,
    ): String {
        val default =
            when {
                !descriptor.isElementOptional(index) -> "required"
                value is JsonNull -> "none"
                value is JsonArray -> "empty"
                value is JsonPrimitive && value.content.isEmpty() ->
                    if (path.endsWith(
                            ".service",
                        )
                    ) {
                        "the file's service"
                    } else {
                        "empty"
                    }
                else -> "`${(value as JsonPrimitive).content}`"
            }
        val range =
            descriptor.getElementAnnotations(index).firstNotNullOfOrNull {
                when (it) {
                    is AllowedRange -> "`${it.min}` to `${it.max}`"
                    is AllowedPattern -> "form ${PATTERN_NAMES.getValue(it.pattern)}"
                    else -> null
                }
            } ?: "-"
        return "| `$path` | ${StructureCheck.expected(descriptor.getElementDescriptor(index))} | $default | $range"
    }

    private val PATTERN_NAMES =
        mapOf(
            AllowedPattern.NAME to "name",
            AllowedPattern.SHA256 to "hash",
            AllowedPattern.PATH to "path",
            AllowedPattern.PATH_TEMPLATE to "path template",
            AllowedPattern.METHOD to "method",
            AllowedPattern.ADDRESS to "address",
        )
}
