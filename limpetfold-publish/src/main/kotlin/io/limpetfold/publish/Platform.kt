package io.limpetfold.publish

import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.store.ObjectStore

/** An open connection to the platform; [close] releases it. */
class Platform(
    val store: ObjectStore,
    val directory: InstanceDirectory,
    private val onClose: suspend () -> Unit = {},
) {
    suspend fun close() = onClose()
}
