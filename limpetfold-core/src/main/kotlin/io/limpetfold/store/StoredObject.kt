package io.limpetfold.store

/**
 * An object as the platform returned it.
 *
 * @property value JSON text of at most 1 MB.
 */
data class StoredObject(
    val key: ObjectKey,
    val version: ObjectVersion,
    val value: String,
)
