package io.limpetfold.store

/**
 * An object as the platform returned it.
 *
 * @property value JSON text of at most 1 MB.
 * @property status JSON text in which the component that processes the object reports on it; null in stores without a
 * status.
 */
data class StoredObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: String,
    val status: String? = null,
)
