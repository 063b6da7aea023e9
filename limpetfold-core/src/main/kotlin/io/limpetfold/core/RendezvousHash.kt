package io.limpetfold.core

/** Ranks candidates for a key by rendezvous hashing, so that all instances agree without communication. */
object RendezvousHash {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val MIX_FIRST = -0x61c8864680b583ebL
    private const val MIX_SECOND = -0x4b47d0c5bd1c6d6dL
    private const val SHIFT_FIRST = 30
    private const val SHIFT_SECOND = 27
    private const val SHIFT_THIRD = 31
    private const val BYTE_MASK = 0xffL

    /** Returns [candidates] ordered from the highest score for [key] to the lowest. */
    fun <T> rank(
        key: String,
        candidates: Iterable<T>,
        identity: (T) -> String,
    ): List<T> {
        val keyHash = hash(key)
        return candidates
            .map { candidate -> identity(candidate).let { Scored(candidate, it, score(keyHash, it)) } }
            .sortedWith(compareByDescending<Scored<T>> { it.score }.thenBy { it.identity })
            .map { it.candidate }
    }

    /** A candidate with its score, which is computed once instead of for each comparison. */
    private class Scored<T>(
        val candidate: T,
        val identity: String,
        val score: Long,
    )

    /** Returns the score of [candidate] for [key]; the same on every JVM. */
    fun score(
        key: String,
        candidate: String,
    ): Long = score(hash(key), candidate)

    private fun score(
        keyHash: Long,
        candidate: String,
    ): Long = mix(keyHash xor mix(hash(candidate)))

    private fun hash(text: String): Long {
        var hash = FNV_OFFSET
        for (byte in text.encodeToByteArray()) {
            hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
        }
        return hash
    }

    /** Spreads similar inputs over the whole range, because FNV alone gives similar names similar hashes. */
    private fun mix(value: Long): Long {
        val first = (value xor (value ushr SHIFT_FIRST)) * MIX_FIRST
        val second = (first xor (first ushr SHIFT_SECOND)) * MIX_SECOND
        return second xor (second ushr SHIFT_THIRD)
    }
}
