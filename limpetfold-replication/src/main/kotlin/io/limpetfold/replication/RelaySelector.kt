package io.limpetfold.replication

import io.limpetfold.core.InstanceId

/** Selects the routers that are asked for changes before the store is, the preferred one first. */
fun interface RelaySelector {
    /** The relays to ask; empty when this router watches the store itself. */
    fun relays(): List<InstanceId>

    companion object {
        /** Selects no relay. */
        val NONE: RelaySelector = RelaySelector { emptyList() }
    }
}
