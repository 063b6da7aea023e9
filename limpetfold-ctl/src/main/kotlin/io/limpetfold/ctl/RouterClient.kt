package io.limpetfold.ctl

import com.github.michaelbull.result.get
import io.limpetfold.http.Headers
import io.limpetfold.http.HostPort
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.time.Duration

/** Sends requests to the operators' ports of the routers at [addresses]. */
internal class RouterClient(
    private val client: UpstreamClient,
    private val addresses: List<HostPort>,
    private val key: String,
) {
    /**
     * The result of a request to one router.
     *
     * @property body null when the router has nothing under the target, or the request failed.
     * @property failure why it is unknown what the router has, worded to follow the router's name; null after a
     *   complete response with status 200 or after a 404.
     */
    data class RouterResponse(
        val router: HostPort,
        val body: String?,
        val failure: String?,
    )

    /** Sends a GET request for [target] to all configured routers concurrently. */
    suspend fun getAll(target: String): List<RouterResponse> =
        coroutineScope { addresses.map { async { get(it, target) } }.awaitAll() }

    private suspend fun get(
        address: HostPort,
        target: String,
    ): RouterResponse {
        val request =
            UpstreamRequest(
                "GET",
                target,
                Headers.of("Authorization" to "Bearer $key"),
                firstByteTimeout = FIRST_BYTE_TIMEOUT,
            )
        val response = client.send(address, request).get() ?: return RouterResponse(address, null, "did not respond")
        return response.use {
            val body = it.readAll(MAX_BODY_BYTES).get()?.decodeToString()
            when (it.head.status) {
                OK -> RouterResponse(address, body, if (body == null) "did not send a complete response" else null)
                NOT_FOUND -> RouterResponse(address, null, null)
                UNAUTHORIZED -> RouterResponse(address, null, "refused operatorsKey of the settings")
                else -> RouterResponse(address, null, "responded with status ${it.head.status}")
            }
        }
    }

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val MAX_BODY_BYTES = 4 * 1024 * 1024
        val FIRST_BYTE_TIMEOUT: Duration = Duration.ofSeconds(5)
    }
}
