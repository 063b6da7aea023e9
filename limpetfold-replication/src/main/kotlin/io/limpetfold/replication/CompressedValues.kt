package io.limpetfold.replication

import io.limpetfold.store.ObjectKey
import io.limpetfold.store.StoredObject

/** The compressed values of long objects, each made once for all routers that it is sent to. Not safe for concurrent use. */
internal class CompressedValues {
    private class Entry(
        val value: String,
        val compressed: CompressedText,
    )

    private val entries = HashMap<ObjectKey, Entry>()

    /** Returns the compressed value of [stored], or null if it is short. */
    fun of(stored: StoredObject): CompressedText? {
        val known = entries[stored.key]
        if (known != null && known.value === stored.value) return known.compressed
        entries.remove(stored.key)
        return CompressedText.ofLong(stored.value)?.also { entries[stored.key] = Entry(stored.value, it) }
    }

    /** Drops the values of objects whose key is not in [keys]. */
    fun retain(keys: Set<ObjectKey>) {
        entries.keys.retainAll(keys)
    }
}
