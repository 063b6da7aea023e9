package io.limpetfold.http

/** A network address; [host] is an IP address or a host name. */
data class HostPort(
    val host: String,
    val port: Int,
) {
    override fun toString(): String = "$host:$port"
}
