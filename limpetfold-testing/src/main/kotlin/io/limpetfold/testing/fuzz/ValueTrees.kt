package io.limpetfold.testing.fuzz

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import kotlin.random.Random

/**
 * Generates values by the descriptors of their serializers, with a fault at about one place in [faultyOneIn], and writes
 * them as JSON or CBOR.
 */
@OptIn(ExperimentalSerializationApi::class)
class ValueTrees(
    private val random: Random,
    private val faultyOneIn: Int = 25,
) {
    /** The entries of an object, in which a name may occur twice. */
    class Entries(
        val entries: List<Pair<Any?, Any?>>,
    )

    /** Returns a tree of [Entries], lists, texts, byte strings, numbers, booleans and nulls for [type]. */
    fun tree(
        type: SerialDescriptor,
        depth: Int = 0,
    ): Any? {
        if (random.nextInt(faultyOneIn) == 0) return odd()
        if (type.isNullable && random.nextInt(3) == 0) return null
        val elements = { index: Int -> tree(type.getElementDescriptor(index), depth + 1) }
        val count = if (depth > MAX_DEPTH) 0 else random.nextInt(4)
        return when (type.kind) {
            StructureKind.CLASS, StructureKind.OBJECT ->
                if (type.isInline) elements(0) else Entries(members(type, depth))
            StructureKind.MAP -> Entries(List(count) { elements(0) to elements(1) })
            StructureKind.LIST ->
                if (type.getElementDescriptor(0).kind == PrimitiveKind.BYTE) {
                    random.nextBytes(random.nextInt(32))
                } else {
                    List(count) { elements(0) }
                }
            PrimitiveKind.STRING -> TEXTS.random(random)
            PrimitiveKind.BOOLEAN -> random.nextBoolean()
            PrimitiveKind.DOUBLE -> random.nextDouble() * random.nextInt(1_000_000)
            SerialKind.ENUM -> type.getElementName(random.nextInt(type.elementsCount))
            is PolymorphicKind -> subtype(type.getElementDescriptor(1), depth)
            else -> random.nextLong(1, 100)
        }
    }

    private fun members(
        type: SerialDescriptor,
        depth: Int,
    ): List<Pair<Any?, Any?>> =
        (0 until type.elementsCount)
            .filter { !type.isElementOptional(it) || random.nextBoolean() }
            .flatMap { index ->
                val member = type.getElementName(index) to tree(type.getElementDescriptor(index), depth + 1)
                when (random.nextInt(faultyOneIn * 3)) {
                    0 -> listOf(member, member)
                    1 -> emptyList()
                    2 -> listOf(member, "unknown" to odd())
                    else -> listOf(member)
                }
            }

    private fun subtype(
        types: SerialDescriptor,
        depth: Int,
    ): List<Any?> {
        if (types.elementsCount == 0) return emptyList()
        val chosen = types.getElementDescriptor(random.nextInt(types.elementsCount))
        return listOf(chosen.serialName, tree(chosen, depth + 1))
    }

    private fun odd(): Any? =
        when (random.nextInt(6)) {
            0 -> null
            1 -> NUMBERS.random(random)
            2 -> ODD_TEXTS.random(random)
            3 -> (0..levels()).fold<Int, Any?>(null) { inner, _ -> listOf(inner) }
            4 -> (0..levels()).fold<Int, Any?>(1) { inner, _ -> Entries(listOf("a" to inner)) }
            else -> random.nextBytes(random.nextInt(20))
        }

    private fun levels() = if (random.nextInt(20) == 0) DEEP else 3

    companion object {
        private const val MAX_DEPTH = 6
        private const val DEEP = 200
        private const val LONG_CHARS = 300
        private val TEXTS = "a i-1 w1 10.0.0.1:80 /r/ app.example ready idempotent servers/i-1".split(' ')
        private val ODD_TEXTS =
            " |\u0000|\ud800|a\nb|-1|NaN|1e999|../..|10.0.0.1:99999|[::1]:80".split('|') + "" + "é".repeat(LONG_CHARS)
        private val NUMBERS: List<Number> =
            listOf(0, -1, 2_147_483_648, Long.MAX_VALUE, Long.MIN_VALUE, 1e300, -1e300, 0.5, Double.NaN)

        /** Writes [tree] as JSON. */
        fun json(tree: Any?): String =
            when (tree) {
                is Entries ->
                    tree.entries.joinToString(",", "{", "}") { (name, value) -> "${json("$name")}:${json(value)}" }
                is List<*> -> tree.joinToString(",", "[", "]", transform = ::json)
                is ByteArray -> json(tree.toList())
                is String -> tree.map(::jsonChar).joinToString("", "\"", "\"")
                else -> "$tree"
            }

        private fun jsonChar(char: Char): String =
            if (char < ' ' || char in "\"\\") "\\u%04x".format(char.code) else "$char"

        /** Writes [tree] as CBOR, as Kotlin's library does: objects and lists without a length. */
        fun cbor(tree: Any?): ByteArray =
            ByteArrayOutputStream().also { DataOutputStream(it).value(tree) }.toByteArray()

        private fun DataOutputStream.value(tree: Any?) {
            when (tree) {
                is Entries -> open(MAP, tree.entries.flatMap { it.toList() })
                is List<*> -> open(ARRAY, tree)
                is ByteArray -> sized(BYTES, tree)
                is String -> sized(TEXT, tree.encodeToByteArray())
                is Boolean -> write(if (tree) TRUE else FALSE)
                is Double -> write(DOUBLE).also { writeDouble(tree) }
                is Number -> number(tree.toLong())
                else -> write(NULL)
            }
        }

        private fun DataOutputStream.open(
            type: Int,
            values: List<Any?>,
        ) {
            write(type)
            values.forEach { value(it) }
            write(BREAK)
        }

        private fun DataOutputStream.sized(
            type: Int,
            bytes: ByteArray,
        ) {
            write(type)
            writeInt(bytes.size)
            write(bytes)
        }

        private fun DataOutputStream.number(value: Long) {
            write(if (value < 0) NEGATIVE_LONG else LONG)
            writeLong(if (value < 0) -1 - value else value)
        }

        private const val LONG = 0x1b
        private const val NEGATIVE_LONG = 0x3b
        private const val BYTES = 0x5a
        private const val TEXT = 0x7a
        private const val ARRAY = 0x9f
        private const val MAP = 0xbf
        private const val FALSE = 0xf4
        private const val TRUE = 0xf5
        private const val NULL = 0xf6
        private const val DOUBLE = 0xfb
        private const val BREAK = 0xff
    }
}
