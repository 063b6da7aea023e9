package io.limpetfold.store

/** A decoded object and the version at which it was read or written; [value] is null when the object does not exist. */
data class Versioned<T>(
    val value: T?,
    val version: ObjectVersion,
)
