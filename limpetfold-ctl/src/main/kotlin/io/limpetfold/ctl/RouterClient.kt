package io.limpetfold.ctl

import com.github.michaelbull.result.get
import io.limpetfold.http.Headers
import io.limpetfold.http.UpstreamAddress
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import java.time.Duration

/** Reads from the operators' ports of routers. */
internal class RouterClient(
    private val client: UpstreamClient,
    private val addresses: List<UpstreamAddress>,
    private val key: String,
) {
    /** One router's answer; [body] is null when it did not answer or had nothing. */
    data class Reply(
        val router: UpstreamAddress,
        val status: Int?,
        val body: String?,
    )

    /** Asks every configured router for [target]. */
    suspend fun getAll(target: String): List<Reply> = addresses.map { get(it, target) }

    private suspend fun get(
        address: UpstreamAddress,
        target: String,
    ): Reply {
        val request = UpstreamRequest("GET", target, Headers.of("Authorization" to "Bearer $key"), firstByteTimeout = TIMEOUT)
        val answer = client.send(address, request).get() ?: return Reply(address, null, null)
        return answer.use {
            val body = it.readAll(MAX_BYTES).get()?.decodeToString()
            Reply(address, it.head.status, body.takeIf { _ -> it.head.status == OK })
        }
    }

    private companion object {
        const val OK = 200
        const val MAX_BYTES = 4 * 1024 * 1024
        val TIMEOUT: Duration = Duration.ofSeconds(5)
    }
}
