package io.limpetfold.replication

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.InflaterInputStream

/**
 * A long text in a message between routers, in the zlib format.
 *
 * A router passes a configuration on to all routers of its group over one link, so each byte of it counts many times.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class CompressedText private constructor(
    @ByteString private val deflated: ByteArray,
) {
    /** Returns the text; null if the bytes are damaged, or more than [MAX_TEXT_BYTES] when inflated. */
    fun text(): String? =
        try {
            val bytes =
                InflaterInputStream(ByteArrayInputStream(deflated)).use { it.readNBytes(MAX_TEXT_BYTES + 1) }
            if (bytes.size > MAX_TEXT_BYTES) null else bytes.decodeToString()
        } catch (_: IOException) {
            null
        }

    companion object {
        /** A store's objects are far below this limit, which bounds the memory that a damaged message takes. */
        const val MAX_TEXT_BYTES: Int = 8 * 1024 * 1024

        /** Shorter texts are sent as they are, because compressing them saves little time on a link. */
        private const val MIN_LENGTH_CHARS = 8 * 1024

        /** Returns [text] compressed, or null if it is short. */
        fun ofLong(text: String): CompressedText? = if (text.length < MIN_LENGTH_CHARS) null else of(text)

        private fun of(text: String): CompressedText {
            val buffer = ByteArrayOutputStream(text.length / EXPECTED_RATIO)
            val deflater = Deflater(Deflater.BEST_SPEED)
            try {
                DeflaterOutputStream(buffer, deflater).use { it.write(text.encodeToByteArray()) }
            } finally {
                deflater.end()
            }
            return CompressedText(buffer.toByteArray())
        }

        private const val EXPECTED_RATIO = 6
    }
}
