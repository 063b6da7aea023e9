package io.limpetfold.publish

import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.store.ObjectStore

/** The clients of the platform's object store and instance list; [close] releases their connections. */
class Platform(
    val store: ObjectStore,
    val directory: InstanceDirectory,
    private val onClose: suspend () -> Unit = {},
) {
    suspend fun close() = onClose()
}
