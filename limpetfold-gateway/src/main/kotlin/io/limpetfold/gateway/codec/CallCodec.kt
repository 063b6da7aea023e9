package io.limpetfold.gateway.codec

import io.limpetfold.http.Headers
import io.limpetfold.http.RequestHead
import io.limpetfold.http.ResponseHead

/** Translates between the header fields of a platform and the router's types. */
interface CallCodec {
    /** The field that carries the identity of a request and is echoed in its answer. */
    val requestIdHeader: String

    /** Decodes the header fields of a caller's request. */
    fun decode(head: RequestHead): CallHeaders

    /** Returns the header fields to send to an endpoint, without any that only a router may set and the caller sent. */
    fun upstreamHeaders(
        head: RequestHead,
        call: ForwardedCallHeaders,
    ): Headers

    /** Whether an answer carries the endpoint's signature, without which a success counts for nothing. */
    fun isSigned(head: ResponseHead): Boolean

    /** Whether an endpoint's answer proves that it did not run the call. */
    fun isNotRun(head: ResponseHead): Boolean
}
