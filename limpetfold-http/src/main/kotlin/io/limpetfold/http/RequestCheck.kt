package io.limpetfold.http

import com.github.michaelbull.result.getOrElse
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/**
 * Reads decoded request heads once for all: refuses those that are malformed, too large, or that another HTTP program
 * could read differently, and returns what the others say.
 */
internal class RequestCheck(
    private val settings: HttpServerSettings,
) {
    private val singleFields = SingleFields(settings.singleFields)

    /** Returns the refusal for [request] under [limits], or null when it is acceptable. */
    fun refusal(
        request: HttpRequest,
        limits: ConnectionLimits,
    ): Refusal? = (read(request, limits) as? RequestReading.Refused)?.refusal

    /** Returns what [request] says, or its refusal under [limits]. */
    fun read(
        request: HttpRequest,
        limits: ConnectionLimits,
    ): RequestReading {
        if (request.decoderResult().isFailure) return refused(decoderRefusal(request.decoderResult().cause()))
        val isVersion11 = request.protocolVersion() == HttpVersion.HTTP_1_1
        val target =
            RequestTarget.read(request.uri()).getOrElse {
                return refused(badRequest(it, "send the target as a plain path, such as /v1/models"))
            }
        val refusal =
            lineRefusal(request, isVersion11)
                ?: fieldRefusal(request.headers(), isVersion11)
                ?: bodyRefusal(request.headers(), isVersion11, limits)
        return if (refusal == null) accepted(request, target, isVersion11) else refused(refusal)
    }

    private fun refused(refusal: Refusal) = RequestReading.Refused(refusal)

    private fun accepted(
        request: HttpRequest,
        target: RequestTarget,
        isVersion11: Boolean,
    ): RequestReading.Accepted {
        val body = bodyFraming(request.headers())
        val traits =
            ServerExchange.Traits(
                isVersion11,
                isKeepAlive = isVersion11 && HttpUtil.isKeepAlive(request),
                hasRequestBody = body != RequestHead.BodyFraming.None,
                hasResponseBody = request.method() != HttpMethod.HEAD,
                expectsContinue = HttpUtil.is100ContinueExpected(request),
            )
        return RequestReading.Accepted(
            RequestHead(request.method().name(), target.originForm, fields(request.headers(), target.authority), body),
            traits,
        )
    }

    /** Returns the fields of [headers]; [authority] replaces the value of `Host` unless it is null. */
    private fun fields(
        headers: HttpHeaders,
        authority: String?,
    ): Headers {
        val received = Headers.of(headers.map { it.key to it.value })
        if (authority == null) return received
        if (received[HOST] == null) return received.with(HOST, authority)
        return Headers.of(
            received.entries.map { (name, value) ->
                name to
                    if (name.equals(HOST, ignoreCase = true)) authority else value
            },
        )
    }

    private fun bodyFraming(headers: HttpHeaders): RequestHead.BodyFraming {
        if (headers.contains("Transfer-Encoding")) return RequestHead.BodyFraming.Chunked
        val lengthBytes = headers["Content-Length"]?.toLong() ?: 0
        return if (lengthBytes == 0L) RequestHead.BodyFraming.None else RequestHead.BodyFraming.Length(lengthBytes)
    }

    private fun lineRefusal(
        request: HttpRequest,
        isVersion11: Boolean,
    ): Refusal? =
        when {
            !isVersion11 && request.protocolVersion() != HttpVersion.HTTP_1_0 ->
                Refusal(
                    HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED,
                    "the HTTP version is not supported",
                    "use HTTP/1.1",
                )
            request.method().name().equals(HttpMethod.TRACE.name(), ignoreCase = true) ->
                Refusal(
                    HttpResponseStatus.METHOD_NOT_ALLOWED,
                    "TRACE is not served, because it returns the keys in a request",
                    "use another method",
                    Headers.of("Allow" to SERVED_METHODS),
                )
            else -> null
        }

    private fun fieldRefusal(
        headers: HttpHeaders,
        isVersion11: Boolean,
    ): Refusal? {
        val hosts = headers.getAll(HOST)
        return when {
            headers.size() > settings.maxHeaderCount ->
                Refusal(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                    "more than ${settings.maxHeaderCount} header fields",
                    "send fewer header fields",
                )
            hosts.size > 1 || (isVersion11 && hosts.isEmpty()) ->
                badRequest("the request needs exactly one Host field", "send one Host field")
            hosts.any { !RequestTarget.isAuthority(it) } ->
                badRequest("the Host field is not a host with an optional port", "send the host of the target")
            else ->
                singleFields.repeatedIn(headers)?.let {
                    badRequest("the field $it stands more than once", "send one $it field")
                }
        }
    }

    private fun badRequest(
        message: String,
        remedy: String,
    ) = Refusal(HttpResponseStatus.BAD_REQUEST, message, remedy)

    private fun bodyRefusal(
        headers: HttpHeaders,
        isVersion11: Boolean,
        limits: ConnectionLimits,
    ): Refusal? {
        val encodings = headers.getAll("Transfer-Encoding")
        val lengths = headers.getAll("Content-Length")
        return when {
            encodings.isNotEmpty() &&
                (encodings.size > 1 || !isVersion11 || !encodings[0].equals("chunked", ignoreCase = true)) ->
                badRequest(
                    "Transfer-Encoding is not exactly 'chunked'",
                    "send a Content-Length or 'Transfer-Encoding: chunked'",
                )
            encodings.isNotEmpty() && lengths.isNotEmpty() ->
                badRequest("both Content-Length and Transfer-Encoding are present", "send only one of them")
            lengths.size > 1 || lengths.any { !it.isDecimalNumber() } ->
                badRequest("Content-Length is not one number", "send one decimal Content-Length")
            (lengths.firstOrNull()?.toLongOrNull() ?: if (lengths.isEmpty()) 0 else Long.MAX_VALUE) >
                limits.maxBodyBytes ->
                Refusal(
                    HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                    "the body exceeds ${limits.maxBodyBytes} bytes",
                    "send a smaller body",
                )
            headers.getAll("Expect").any { !it.equals("100-continue", ignoreCase = true) } ->
                Refusal(
                    HttpResponseStatus.EXPECTATION_FAILED,
                    "the expectation is not supported",
                    "send no Expect field",
                )
            else -> null
        }
    }

    private fun decoderRefusal(cause: Throwable): Refusal =
        when (cause) {
            is TooLongHttpLineException ->
                Refusal(
                    HttpResponseStatus.REQUEST_URI_TOO_LONG,
                    "the request line exceeds ${settings.maxRequestLineBytes} bytes",
                    "shorten the target",
                )
            is TooLongHttpHeaderException, is TooLongFrameException ->
                headerFieldsTooLarge(ConnectionLimits.MAX_HEADER_BYTES)
            else ->
                badRequest("the request head is malformed", "send a request as in RFC 9112")
        }

    /** Returns the refusal of a head whose header field lines exceed [maxHeaderBytes]. */
    fun headerFieldsTooLarge(maxHeaderBytes: Int) =
        Refusal(
            HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            "the header fields exceed $maxHeaderBytes bytes",
            "send smaller header fields",
        )

    /** The status, texts and further header fields of the error response to a refused request. */
    data class Refusal(
        val status: HttpResponseStatus,
        val message: String,
        val remedy: String,
        val headers: Headers = Headers.EMPTY,
    )

    private companion object {
        const val HOST = "Host"
        const val SERVED_METHODS = "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"
    }
}
