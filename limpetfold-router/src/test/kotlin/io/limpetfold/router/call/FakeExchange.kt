package io.limpetfold.router.call

import io.limpetfold.http.BodySource
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.RequestHead
import io.limpetfold.http.ResponseSink
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job

/** A request whose body, if [bodyFraming] announces one, never arrives; [onRespond] runs when the response is to be written. */
internal class FakeExchange(
    headers: Headers = Headers.EMPTY,
    bodyFraming: RequestHead.BodyFraming = RequestHead.BodyFraming.None,
    private val onRespond: () -> Unit = {},
) : HttpExchange {
    override val head = RequestHead("GET", "/bookings", headers.with("Authorization", "Bearer $KEY"), bodyFraming)
    override val callerAddress = "127.0.0.1"
    override val body = BodySource { null }
    override val isProcessBufferFull = false
    override val callerDisconnected: CompletableJob = Job()

    override suspend fun readBody(maxBytes: Int) = ByteArray(0)

    override suspend fun respond(
        status: Int,
        headers: Headers,
        body: ByteArray,
    ) = onRespond()

    override suspend fun respondStream(
        status: Int,
        headers: Headers,
    ): ResponseSink {
        onRespond()
        error("a stream is not expected")
    }

    companion object {
        const val KEY = "key-w0"
    }
}
