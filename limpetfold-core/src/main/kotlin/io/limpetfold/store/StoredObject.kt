package io.limpetfold.store

/**
 * An object as the platform returned it.
 *
 * @property value JSON text of at most 1 MB.
 * @property status JSON text that whoever works on the object reports of it; null in stores that keep none.
 */
data class StoredObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: String,
    val status: String? = null,
)
