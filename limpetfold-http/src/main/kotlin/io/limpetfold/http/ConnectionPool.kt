package io.limpetfold.http

/** The connections of an [UpstreamClient], grouped by address. */
internal class ConnectionPool(
    private val maxConnectionsPerAddress: Int,
    private val listener: UpstreamListener,
) : ClientConnection.Owner {
    private class Entry {
        val idle = ArrayDeque<ClientConnection>()
        val open = mutableSetOf<ClientConnection>()
        var connecting = 0
    }

    private val entries = HashMap<HostPort, Entry>()
    private var isClosed = false

    /** The result of [acquire]. */
    sealed interface Acquisition {
        class Pooled(
            val connection: ClientConnection,
        ) : Acquisition

        /** The client may open a connection and must report the result with [connected] or [connectFailed]. */
        data object New : Acquisition

        /** The address has its maximum number of connections, none of them idle. */
        data object Exhausted : Acquisition

        data object Closed : Acquisition
    }

    /** Takes the most recently used idle connection out of the pool, or reserves a place for a new one. */
    fun acquire(address: HostPort): Acquisition =
        synchronized(entries) {
            if (isClosed) return Acquisition.Closed
            val entry = entries.getOrPut(address, ::Entry)
            entry.idle.removeLastOrNull()?.let { return Acquisition.Pooled(it) }
            if (entry.open.size + entry.connecting >= maxConnectionsPerAddress) return Acquisition.Exhausted
            entry.connecting++
            Acquisition.New
        }

    /**
     * Adds a new connection.
     *
     * Returns false if the pool was closed in the meantime; the client then closes the connection.
     */
    fun connected(connection: ClientConnection): Boolean {
        val isKept =
            synchronized(entries) {
                entries[connection.address]?.let { it.connecting-- }
                if (!isClosed) entries.getOrPut(connection.address, ::Entry).open += connection
                !isClosed
            }
        if (isKept) listener.onOpened(connection.address)
        return isKept
    }

    /** Gives back the place reserved by [Acquisition.New] after a failed attempt. */
    fun connectFailed(address: HostPort) {
        synchronized(entries) {
            entries[address]?.let { it.connecting-- }
            removeIfUnused(address)
        }
    }

    /** The number of open connections to [address]. */
    fun openCount(address: HostPort): Int = synchronized(entries) { entries[address]?.open?.size ?: 0 }

    fun close() {
        val open =
            synchronized(entries) {
                isClosed = true
                entries.values.flatMap { it.open }
            }
        open.forEach { it.fail(UpstreamException(UpstreamError.Reason.POOL_CLOSED, "the client was closed")) }
    }

    override fun onIdle(connection: ClientConnection) {
        val isKept =
            synchronized(entries) {
                val entry = entries[connection.address]
                if (entry == null || isClosed || connection !in entry.open) {
                    false
                } else {
                    entry.idle.addLast(connection)
                    true
                }
            }
        if (!isKept) connection.discard()
    }

    override fun onClosed(connection: ClientConnection) {
        val remaining =
            synchronized(entries) {
                val entry = entries[connection.address] ?: return
                entry.idle.remove(connection)
                if (!entry.open.remove(connection)) return
                removeIfUnused(connection.address)
                entry.open.size
            }
        listener.onClosed(connection.address, remaining)
    }

    override fun onUnsolicitedBytes(connection: ClientConnection) = listener.onUnsolicitedBytes(connection.address)

    override fun onIdentityMismatch(connection: ClientConnection) = listener.onIdentityMismatch(connection.address)

    private fun removeIfUnused(address: HostPort) {
        val entry = entries[address] ?: return
        if (entry.open.isEmpty() && entry.connecting == 0) entries.remove(address)
    }
}
