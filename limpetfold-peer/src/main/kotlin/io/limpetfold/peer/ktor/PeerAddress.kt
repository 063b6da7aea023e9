package io.limpetfold.peer.ktor

import io.limpetfold.core.InstanceId

/** Where the router of an instance accepts connections from peers; [host] is an IP address. */
data class PeerAddress(
    val instance: InstanceId,
    val host: String,
    val port: Int,
)
