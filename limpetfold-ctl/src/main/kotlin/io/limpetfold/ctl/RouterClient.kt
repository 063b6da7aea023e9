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

/** Reads from the operators' ports of routers. */
internal class RouterClient(
    private val client: UpstreamClient,
    private val addresses: List<HostPort>,
    private val key: String,
) {
    /**
     * One router's answer.
     *
     * @property body null when the router had nothing or failed.
     * @property failure why it is unknown what the router has; null when it answered the question.
     */
    data class Reply(
        val router: HostPort,
        val body: String?,
        val failure: String?,
    )

    /** Asks every configured router for [target], all at the same time. */
    suspend fun getAll(target: String): List<Reply> = coroutineScope { addresses.map { async { get(it, target) } }.awaitAll() }

    private suspend fun get(
        address: HostPort,
        target: String,
    ): Reply {
        val request = UpstreamRequest("GET", target, Headers.of("Authorization" to "Bearer $key"), firstByteTimeout = TIMEOUT)
        val answer = client.send(address, request).get() ?: return Reply(address, null, "did not answer")
        return answer.use {
            val body = it.readAll(MAX_BYTES).get()?.decodeToString()
            when (it.head.status) {
                OK -> Reply(address, body, if (body == null) "did not end its answer" else null)
                NOT_FOUND -> Reply(address, null, null)
                UNAUTHORIZED -> Reply(address, null, "refused operatorsKey of the settings")
                else -> Reply(address, null, "answered ${it.head.status}")
            }
        }
    }

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val MAX_BYTES = 4 * 1024 * 1024
        val TIMEOUT: Duration = Duration.ofSeconds(5)
    }
}
