package io.limpetfold.config.yaml

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.limpetfold.config.AllowedRange
import io.limpetfold.config.AllowedText
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

@OptIn(ExperimentalSerializationApi::class)
class SettingsPageTest :
    FunSpec({
        test("guards against a page whose keys, units, defaults or ranges differ from the code") {
            val service =
                """{"service":"a","kind":"plain","versions":[{"version":"1","maxInFlightPerEndpoint":1}],
                "routes":[{"route":"a","pathPrefix":"/","activeVersion":"1",
                "calls":[{"method":"GET","path":"/","isRepeatable":true}]}]}"""
            val workspaces = """{"maxRouters":1,"workspaces":[{"workspace":"a","keyHashes":["a"]}]}"""
            val expected = rows(ServiceFile.serializer(), service) + rows(WorkspacesFile.serializer(), workspaces)

            val actual =
                Examples.page("docs/settings.md").lines().filter { it.startsWith("| `") }.map { line ->
                    line.split(" | ").take(4).joinToString(" | ")
                }

            actual.joinToString("\n") shouldBe expected.joinToString("\n")
        }
    }) {
    private companion object {
        fun <T> rows(
            serializer: KSerializer<T>,
            minimal: String,
        ): List<String> {
            val value = TypedObject.JSON.decodeFromString(serializer, minimal)
            val tree = TypedObject.JSON.encodeToJsonElement(serializer, value)
            return fields(serializer.descriptor, tree as JsonObject, "")
        }

        fun fields(
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

        fun row(
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
                    value is JsonPrimitive && value.content.isEmpty() -> "the file's service"
                    else -> "`${(value as JsonPrimitive).content}`"
                }
            val range =
                descriptor.getElementAnnotations(index).firstNotNullOfOrNull {
                    when (it) {
                        is AllowedRange -> "`${it.min}` to `${it.max}`"
                        is AllowedText -> "form ${FORMS.getValue(it.pattern)}"
                        else -> null
                    }
                } ?: "-"
            return "| `$path` | ${StructureCheck.expected(descriptor.getElementDescriptor(index))} | $default | $range"
        }

        val FORMS =
            mapOf(
                AllowedText.NAME to "name",
                AllowedText.SHA256 to "hash",
                AllowedText.PATH to "path",
                AllowedText.PATH_TEMPLATE to "path template",
                AllowedText.METHOD to "method",
            )
    }
}
