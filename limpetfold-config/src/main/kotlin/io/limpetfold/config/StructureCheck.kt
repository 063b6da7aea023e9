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
 * Compares a tree of values with the structure of a type: keys, kinds, units, ranges and patterns.
 *
 * The walk goes on after a fault. [Checked.value] holds defaults, or placeholders for required fields, where the input was faulty, so
 * that further checks can run on the rest; the paths of the replaced values are in [Checked.problems].
 */
@OptIn(ExperimentalSerializationApi::class)
class StructureCheck private constructor() {
    private val problems = mutableListOf<ConfigProblem>()

    /** The result of a walk. */
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
            return fault(descriptor, path, "has no value", "set it to ${expected(descriptor)}")
        }
        return when (descriptor.kind) {
            StructureKind.LIST -> list(descriptor, value, path, rules)
            StructureKind.MAP -> map(descriptor, value, path)
            StructureKind.CLASS, StructureKind.OBJECT -> fields(descriptor, value, path)
            else -> scalar(descriptor, value, path, rules)
        }
    }

    private fun list(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
        rules: List<Annotation>,
    ): JsonElement {
        if (value !is JsonArray) return fault(descriptor, path, "is no list", "write a list of items that start with '- '")
        val element = descriptor.getElementDescriptor(0)
        return JsonArray(value.mapIndexed { index, item -> walk(element, item, "$path[$index]", rules) })
    }

    private fun map(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
    ): JsonElement {
        if (value !is JsonObject) return fault(descriptor, path, "is no mapping", "write 'name: value' pairs")
        val element = descriptor.getElementDescriptor(1)
        return JsonObject(value.mapValues { (key, item) -> walk(element, item, join(path, key), emptyList()) })
    }

    private fun fields(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
    ): JsonElement {
        if (value !is JsonObject) return fault(descriptor, path, "is no mapping", "write 'name: value' pairs")
        val names = (0 until descriptor.elementsCount).map { descriptor.getElementName(it) }
        for (key in value.keys - names.toSet()) {
            problems += ConfigProblem(join(path, key), "is an unknown key", "remove it or use one of ${names.joinToString(", ")}")
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
                            .takeUnless { isOptional && isFaulty(field) }
                    isOptional -> null
                    else -> name to fault(element, field, "is missing", "set it to ${expected(element)}")
                }
            }
        return JsonObject(known.toMap())
    }

    private fun isFaulty(path: String) = problems.any { it.path == path }

    private fun scalar(
        descriptor: SerialDescriptor,
        value: JsonElement,
        path: String,
        rules: List<Annotation>,
    ): JsonElement {
        val text =
            (value as? JsonPrimitive)?.content
                ?: return fault(descriptor, path, "is no single value", "set it to ${expected(descriptor)}")
        val measure =
            measure(descriptor, text)
                ?: return fault(descriptor, path, "has the value '$text'", "set it to ${expected(descriptor)}")
        for (rule in rules) {
            val remedy = remedy(rule, descriptor, text, measure) ?: continue
            return fault(descriptor, path, "has the value '$text'", remedy)
        }
        return primitive(descriptor, text)
    }

    private fun remedy(
        rule: Annotation,
        descriptor: SerialDescriptor,
        text: String,
        measure: BigDecimal,
    ): String? =
        when (rule) {
            is AllowedRange -> {
                val isInside = measure >= measure(descriptor, rule.min) && measure <= measure(descriptor, rule.max)
                if (isInside) null else "set it to a value from ${rule.min} to ${rule.max}"
            }
            is AllowedPattern -> if (Regex(rule.pattern).matches(text)) null else "use a value of the form ${rule.pattern}"
            else -> null
        }

    private fun fault(
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
        private val BYTE_SIZE = ByteSize.Text.descriptor.serialName
        private val INTEGERS = setOf(PrimitiveKind.INT, PrimitiveKind.LONG, PrimitiveKind.SHORT, PrimitiveKind.BYTE)
        private val DECIMALS = setOf(PrimitiveKind.DOUBLE, PrimitiveKind.FLOAT)

        /** Compares [value] with [descriptor]. Numbers and booleans may be quoted, since YAML does not tell them apart. */
        fun check(
            descriptor: SerialDescriptor,
            value: JsonElement,
        ): Checked {
            val check = StructureCheck()
            val repaired = check.walk(descriptor, value, "", emptyList())
            return Checked(repaired, check.problems)
        }

        /** Returns what a value of [descriptor] looks like, as in `a duration such as 250ms, 18s or 5m`. */
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

        /** Returns the number to compare with a range, 0 for kinds without one, or null when [text] is no value of the kind. */
        private fun measure(
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
                descriptor.kind is StructureKind -> JsonObject(required(descriptor))
                else -> JsonPrimitive("")
            }

        private fun required(descriptor: SerialDescriptor): Map<String, JsonElement> =
            (0 until descriptor.elementsCount)
                .filterNot { descriptor.isElementOptional(it) }
                .associate { descriptor.getElementName(it) to placeholder(descriptor.getElementDescriptor(it)) }

        private fun join(
            path: String,
            key: String,
        ): String = if (path.isEmpty()) key else "$path.$key"
    }
}
