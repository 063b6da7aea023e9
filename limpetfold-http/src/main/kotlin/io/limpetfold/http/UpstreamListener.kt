package io.limpetfold.http

/** Sees the connections of an [UpstreamClient]; called on event loops and must not block. */
interface UpstreamListener {
    /** A connection was opened. */
    fun onOpened(address: HostPort) {}

    /** A connection to [address] was closed and [openConnections] remain. */
    fun onClosed(
        address: HostPort,
        openConnections: Int,
    ) {}

    /** A connection was closed because of bytes that no request asked for. */
    fun onUnsolicitedBytes(address: HostPort) {}

    /** An answer carried the identity of another request. */
    fun onIdentityMismatch(address: HostPort) {}

    companion object {
        /** Ignores all events. */
        val NONE: UpstreamListener = object : UpstreamListener {}
    }
}
