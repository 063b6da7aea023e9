package io.limpetfold.testing.fuzz

import kotlin.random.Random

/** Mutates byte strings, and splits them into packets; [tokens] are inserted besides arbitrary bytes. */
class ByteMutator(
    private val tokens: List<String>,
) {
    /** Returns [text] after up to [max] mutations, most often one; about a quarter stay as they are. */
    fun mutate(
        text: ByteArray,
        random: Random,
        max: Int = 3,
    ): ByteArray = (0 until minOf(random.nextInt(4), max)).fold(text) { bytes, _ -> step(bytes, random) }

    private fun step(
        bytes: ByteArray,
        random: Random,
    ): ByteArray {
        if (bytes.isEmpty()) return bytes
        val at = random.nextInt(bytes.size)
        val end = minOf(bytes.size, at + 1 + random.nextInt(8))
        val head = bytes.copyOf(at)
        return when (random.nextInt(6)) {
            0 -> head + bytes.copyOfRange(end, bytes.size)
            1 -> head + bytes.copyOfRange(at, end) + bytes.copyOfRange(at, bytes.size)
            2 -> head + random.nextBytes(1) + bytes.copyOfRange(at + 1, bytes.size)
            3 -> bytes.copyOf(at + 1)
            else -> head + tokens.random(random).toByteArray(Charsets.ISO_8859_1) + bytes.copyOfRange(at, bytes.size)
        }
    }

    /** Cuts [bytes] into packets of at most [maxBytes]: one, a few, or one for each byte. */
    fun split(
        bytes: ByteArray,
        random: Random,
        maxBytes: Int,
    ): FuzzCase {
        val step =
            when (random.nextInt(4)) {
                0 -> 1 + random.nextInt(3)
                1 -> 1 + random.nextInt(32)
                else -> maxBytes
            }
        return bytes.indices.step(step).map { bytes.copyOfRange(it, minOf(it + step, bytes.size)) }
    }
}
