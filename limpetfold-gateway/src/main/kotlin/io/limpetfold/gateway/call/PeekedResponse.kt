package io.limpetfold.gateway.call

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.limpetfold.http.UpstreamError
import io.limpetfold.http.UpstreamResponse

/** A [response] of which the first piece was read already; [next] returns that piece first. */
internal class PeekedResponse(
    private val response: UpstreamResponse,
    firstPiece: ByteArray,
) : UpstreamResponse by response {
    private var unreadPiece: ByteArray? = firstPiece

    override suspend fun next(): Result<ByteArray?, UpstreamError> {
        val piece = unreadPiece ?: return response.next()
        unreadPiece = null
        return Ok(piece)
    }
}
