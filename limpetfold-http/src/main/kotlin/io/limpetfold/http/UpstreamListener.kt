package io.limpetfold.http

/** Receives connection events of an [UpstreamClient]. Called on event loops; must not block. */
interface UpstreamListener {
    /** A connection to [address] was opened. */
    fun onOpened(address: HostPort) {}

    /** A connection to [address] was closed and [openConnections] remain. */
    fun onClosed(
        address: HostPort,
        openConnections: Int,
    ) {}

    /** A connection can no longer be used because the endpoint sent bytes that belong to no request. */
    fun onUnsolicitedBytes(address: HostPort) {}

    /** A response did not echo the id of the running request; it was dropped, or ended the request. */
    fun onIdentityMismatch(address: HostPort) {}

    companion object {
        /** Ignores all events. */
        val NONE: UpstreamListener = object : UpstreamListener {}
    }
}
