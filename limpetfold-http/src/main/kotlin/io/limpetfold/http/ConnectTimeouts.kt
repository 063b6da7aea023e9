package io.limpetfold.http

import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/**
 * How long a connection to each address may take to open: [UpstreamSettings.connectTimeout], or
 * [UpstreamSettings.maxConnectTimeout] after one that did not open in this time, until one does. A connection that is
 * only slow would otherwise be given up again with each attempt.
 */
internal class ConnectTimeouts(
    private val settings: UpstreamSettings,
) {
    private val slowAddresses = ConcurrentHashMap.newKeySet<HostPort>()

    fun timeout(address: HostPort): Duration =
        if (address in slowAddresses) settings.maxConnectTimeout else settings.connectTimeout

    /** A connection to [address] did not open in time. */
    fun onTimeout(address: HostPort) {
        if (settings.maxConnectTimeout > settings.connectTimeout) slowAddresses += address
    }

    /** A connection to [address] opened after [elapsed]. */
    fun onOpened(
        address: HostPort,
        elapsed: Duration,
    ) {
        if (elapsed <= settings.connectTimeout) slowAddresses -= address
    }
}
