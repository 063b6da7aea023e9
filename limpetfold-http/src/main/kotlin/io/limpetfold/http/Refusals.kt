package io.limpetfold.http

import io.netty.handler.codec.http.HttpResponseStatus

/** Refusals of requests because of how they arrive. */
internal object Refusals {
    val PIPELINED =
        RequestCheck.Refusal(
            HttpResponseStatus.BAD_REQUEST,
            "a second request arrived before the answer ended",
            "wait for the answer before the next request",
        )
    val FOLDED =
        RequestCheck.Refusal(
            HttpResponseStatus.BAD_REQUEST,
            "a header field is folded over lines",
            "send each field on one line",
        )
    val TRUNCATED =
        RequestCheck.Refusal(
            HttpResponseStatus.BAD_REQUEST,
            "the request head is truncated",
            "send the whole head",
        )
    val TOO_SLOW =
        RequestCheck.Refusal(
            HttpResponseStatus.REQUEST_TIMEOUT,
            "the request head took too long",
            "send the head at once",
        )

    private const val BAD_REQUEST = 400
    private const val TIMEOUT = 408
    private const val TOO_LARGE = 413

    fun malformedBody() = RequestBodyException(BAD_REQUEST, "the body is malformed: send valid chunks")

    fun slowBody() = RequestBodyException(TIMEOUT, "the body took too long: send it without pauses")

    fun largeBody(maxBytes: Long) =
        RequestBodyException(TOO_LARGE, "the body exceeds $maxBytes bytes: send a smaller body")
}
