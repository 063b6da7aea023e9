package io.limpetfold.store

/** A decoded object with the version it was read or written at; [value] is null when the object does not exist. */
data class Versioned<T>(
    val value: T?,
    val version: ObjectVersion,
)
