package io.limpetfold.http

/** Where an endpoint listens; [host] is an IP address or a name. */
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}
