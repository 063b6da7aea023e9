package io.limpetfold.core

import java.security.MessageDigest
import java.util.HexFormat

/** The hash by which configurations store callers' keys; the timing of a lookup by hash reveals nothing about a key. */
object Sha256Hex {
    /** Returns the lower-case hexadecimal SHA-256 of [text] in UTF-8. */
    fun of(text: String): String = HexFormat.of().formatHex(digest(text))

    private fun digest(text: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())

    /** Compares two hashes in a time that depends on their length only. */
    fun isEqual(
        first: String,
        second: String,
    ): Boolean = MessageDigest.isEqual(first.encodeToByteArray(), second.encodeToByteArray())
}
