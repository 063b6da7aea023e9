package io.limpetfold.standins

import io.limpetfold.http.BufferBudget
import io.limpetfold.http.HostPort
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings

/** An HTTP server for one stand-in, used by the programs and by tests that run a stand-in in process. */
class StandinServer(
    host: String,
    port: Int,
    loops: HttpEventLoops,
    handler: HttpHandler,
) : AutoCloseable {
    private val server =
        HttpServer(
            HttpServerSettings(host, port, maxBodyBytes = MAX_BODY_BYTES, maxConnections = 20_000),
            loops,
            BufferBudget(),
            handler,
        ).start()

    /** The address that the server listens on. */
    val address: HostPort get() = server.address

    override fun close() = server.close()

    private companion object {
        const val MAX_BODY_BYTES = 16L * 1024 * 1024
    }
}
