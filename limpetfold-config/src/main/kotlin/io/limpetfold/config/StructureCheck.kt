package io.limpetfold.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.math.BigDecimal

/**
 * Validates a tree of values against the structure of a type: keys, kinds, units, ranges and patterns.
 *
 * The check continues after an error. In [Checked.value] each invalid input is replaced by its default, or by a
 * placeholder for a required field, so that further checks can run on the rest; [Checked.problems] has the paths of the
 * replaced values.
 */
@OptIn(ExperimentalSerializationApi::class)
class StructureCheck private constructor() {
    private val problems = mutableListOf<ConfigProblem>()

    /** The repaired values and the errors that were found. */
    data class Checked(
        val value: JsonElement,
        val problems: List<ConfigProblem>,
    )

    private fun walk(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
        rules: List<Annotation>,
    ): JsonElement {
        if (descriptor.isInline) return walk(descriptor.getElementDescriptor(0), value, path, rules)
        if (value is JsonNull) {
            if (descriptor.isNullable) return value
            return reportProblem(descriptor, path, "has no value", "set it to ${expected(descriptor)}")
        }
        return when (descriptor.kind) {
            StructureKind.LIST -> walkList(descriptor, value, path, rules)
            StructureKind.MAP -> walkMap(descriptor, value, path)
            StructureKind.CLASS, StructureKind.OBJECT -> walkFields(descriptor, value, path)
            else -> walkScalar(descriptor, value, path, rules)
        }
    }

    private fun walkList(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
        rules: List<Annotation>,
    ): JsonElement {
        if (value !is JsonArray) {
            return reportProblem(
                descriptor,
                path,
                "is not a list",
                "write a list of items that start with '- '",
            )
        }
        val element = descriptor.getElementDescriptor(0)
        return JsonArray(value.mapIndexed { index, item -> walk(element, item, "$path[$index]", rules) })
    }

    private fun walkMap(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
    ): JsonElement {
        if (value !is JsonObject) {
            return reportProblem(
                descriptor,
                path,
                "is not a mapping",
                "write 'name: value' pairs",
            )
        }
        val element = descriptor.getElementDescriptor(1)
        return JsonObject(value.mapValues { (key, item) -> walk(element, item, join(path, key), emptyList()) })
    }

    private fun walkFields(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
    ): JsonElement {
        if (value !is JsonObject) {
            return reportProblem(
                descriptor,
                path,
                "is not a mapping",
                "write 'name: value' pairs",
            )
        }
        val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        for (key in value.keys - names.toSet()) {
            problems +=
                ConfigProblem(
                    join(path, key),
                    "is an unknown key",
                    "remove it or use one of ${names.joinToString(", ")}",
                )
        }
        val known =
            names.withIndex().mapNotNull { (index, name) ->
                val item = value[name]
                val element = descriptor.getElementDescriptor(index)
                val field = join(path, name)
                val isOptional = descriptor.isElementOptional(index)
                when {
                    item != null ->
                        (name to walk(element, item, field, descriptor.getElementAnnotations(index)))
                            .takeUnless { isOptional && hasProblem(field) }
                    isOptional -> null
                    else -> name to reportProblem(element, field, "is missing", "set it to ${expected(element)}")
                }
            }
        return JsonObject(known.toMap())
    }

    private fun hasProblem(path: String) = problems.any { it.path == path }

    private fun walkScalar(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
        rules: List<Annotation>,
    ): JsonElement {
        val text =
            (value as? JsonPrimitive)?.content
                ?: return reportProblem(descriptor, path, "is not a single value", "set it to ${expected(descriptor)}")
        val comparableValue =
            comparableValue(descriptor, text)
                ?: return reportProblem(descriptor, path, "has the value '$text'", "set it to ${expected(descriptor)}")
        for (rule in rules) {
            val remedy = remedy(rule, descriptor, text, comparableValue) ?: continue
            return reportProblem(descriptor, path, "has the value '$text'", remedy)
        }
        return primitive(descriptor, text)
    }

    private fun remedy(
        rule: Annotation,
        descriptor: SerialDescriptor,
        text: String,
        comparableValue: BigDecimal,
    ): String? =
        when (rule) {
            is AllowedRange -> {
                val isInside =
                    comparableValue >= comparableValue(descriptor, rule.min) &&
                        comparableValue <= comparableValue(descriptor, rule.max)
                if (isInside) null else "set it to a value from ${rule.min} to ${rule.max}"
            }
            is AllowedPattern ->
                if (Regex(
                        rule.pattern,
                    ).matches(text)
                ) {
                    null
                } else {
                    "use a value of the form ${rule.pattern}"
                }
            else -> null
        }

    private fun reportProblem(
        descriptor: SerialDescriptor,
        path: String,
        message: String,
        remedy: String,
    ): JsonElement {
        problems += ConfigProblem(path, message, remedy)
        return placeholder(descriptor)
    }

    companion object {
        private val DURATION = DurationSerializer.descriptor.serialName
        private val BYTE_SIZE = ByteSize.Serializer.descriptor.serialName
        private val INTEGERS = setOf(PrimitiveKind.INT, PrimitiveKind.LONG, PrimitiveKind.SHORT, PrimitiveKind.BYTE)
        private val DECIMALS = setOf(PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT)

        /**
         * Validates [value] against [descriptor]. Numbers and booleans may be strings, because the YAML reader does not
         * tell them apart.
         */
        fun check(
            descriptor: SerialDescriptor,
            value: JsonElement,
        ): Checked {
            val check = StructureCheck()
            val repaired = check.walk(descriptor, value, "", emptyList())
            return Checked(repaired, check.problems)
        }

        /** Describes a valid value of [descriptor], as in `a duration such as 250ms, 18s or 5m`. */
        fun expected(descriptor: SerialDescriptor): String =
            when {
                descriptor.isInline -> expected(descriptor.getElementDescriptor(0))
                isType(descriptor, DURATION) -> "a duration such as 250ms, 18s or 5m"
                isType(descriptor, BYTE_SIZE) -> "a size such as 512B, 64KiB or 4MiB"
                descriptor.kind == SerialKind.ENUM ->
                    "one of ${(0 until descriptor.elementsCount).joinToString(", ") { descriptor.getElementName(it) }}"
                descriptor.kind in INTEGERS -> "a whole number"
                descriptor.kind in DECIMALS -> "a number"
                descriptor.kind == PrimitiveKind.BOOLEAN -> "true or false"
                descriptor.kind == StructureKind.LIST -> "a list"
                descriptor.kind is StructureKind -> "a mapping"
                else -> "a text"
            }

        private fun isType(
            descriptor: SerialDescriptor,
            name: String,
        ): Boolean = descriptor.serialName.removeSuffix("?") == name

        /**
         * Returns the number to compare with an [AllowedRange], 0 for kinds without ranges, or null when [text] is not
         * a valid value.
         */
        private fun comparableValue(
            descriptor: SerialDescriptor,
            text: String,
        ): BigDecimal? =
            when {
                isType(descriptor, DURATION) -> DurationSerializer.parse(text)?.toMillis()?.toBigDecimal()
                isType(descriptor, BYTE_SIZE) -> ByteSize.parse(text)?.bytes?.toBigDecimal()
                descriptor.kind == SerialKind.ENUM -> BigDecimal.ZERO.takeIf { text in descriptor.names() }
                descriptor.kind == PrimitiveKind.INT -> text.toIntOrNull()?.toBigDecimal()
                descriptor.kind in INTEGERS -> text.toLongOrNull()?.toBigDecimal()
                descriptor.kind in DECIMALS -> text.toBigDecimalOrNull()
                descriptor.kind == PrimitiveKind.BOOLEAN -> BigDecimal.ZERO.takeIf { text == "true" || text == "false" }
                else -> BigDecimal.ZERO
            }

        private fun SerialDescriptor.names() = (0 until elementsCount).map { getElementName(it) }

        private fun primitive(
            descriptor: SerialDescriptor,
            text: String,
        ): JsonPrimitive =
            when (descriptor.kind) {
                in INTEGERS -> JsonPrimitive(text.toLong())
                in DECIMALS -> JsonPrimitive(text.toDouble())
                PrimitiveKind.BOOLEAN -> JsonPrimitive(text.toBoolean())
                else -> JsonPrimitive(text)
            }

        private fun placeholder(descriptor: SerialDescriptor): JsonElement =
            when {
                descriptor.isNullable -> JsonNull
                descriptor.isInline -> placeholder(descriptor.getElementDescriptor(0))
                isType(descriptor, DURATION) -> JsonPrimitive("1s")
                isType(descriptor, BYTE_SIZE) -> JsonPrimitive("1KiB")
                descriptor.kind == SerialKind.ENUM -> JsonPrimitive(descriptor.getElementName(0))
                descriptor.kind in INTEGERS || descriptor.kind in DECIMALS -> JsonPrimitive(1)
                descriptor.kind == PrimitiveKind.BOOLEAN -> JsonPrimitive(false)
                descriptor.kind == StructureKind.LIST -> JsonArray(emptyList())
                descriptor.kind == StructureKind.MAP -> JsonObject(emptyMap())
                descriptor.kind is StructureKind -> JsonObject(requiredPlaceholders(descriptor))
                else -> JsonPrimitive("")
            }

        private fun requiredPlaceholders(descriptor: SerialDescriptor): Map<String, JsonElement> =
            (0 until descriptor.elementsCount)
                .filterNot { descriptor.isElementOptional(it) }
                .associate { descriptor.getElementName(it) to placeholder(descriptor.getElementDescriptor(it)) }

        private fun join(
            path: String,
            key: String,
        ): String = if (path.isEmpty()) key else "$path.$key"
    }
}
