package io.limpetfold.config

import java.security.MessageDigest

/** The form in which the configuration holds callers' keys. */
object KeyHash {
    /** Returns the lower-case hexadecimal SHA-256 of [text] in UTF-8. */
    fun of(text: String): String = digest(text).joinToString("") { "%02x".format(it) }

    private fun digest(text: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())

    /** Compares two hashes in a time that depends on their length only. */
    internal fun isEqual(
        first: String,
        second: String,
    ): Boolean = MessageDigest.isEqual(first.encodeToByteArray(), second.encodeToByteArray())
}
