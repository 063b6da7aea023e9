package io.limpetfold.gateway.codec

import io.limpetfold.core.EndpointId
import io.limpetfold.http.Headers
import io.limpetfold.http.RequestHead
import io.limpetfold.http.ResponseHead

/** Translates between the header fields of a platform and the router's types. */
interface CallCodec {
    /** The header field that carries the request id and is echoed in the response. */
    val requestIdHeader: String

    /** Names of the platform's header fields that may stand only once in a request. */
    val singleRequestFields: Set<String>

    /** Names of the platform's header fields that may stand only once in a response, besides [requestIdHeader]. */
    val singleResponseFields: Set<String>

    /** Header fields of a refusal that tell the caller that its request did not run. */
    val notRunHeaders: Headers

    /** Decodes the header fields of a caller's request. */
    fun decode(head: RequestHead): CallHeaders

    /**
     * Returns the header fields to send to an endpoint; fields that only a router may set are removed from the
     * caller's, and so are the fields of the caller's connection before the router adds its own.
     */
    fun upstreamHeaders(
        head: RequestHead,
        call: ForwardedCallHeaders,
    ): Headers

    /** Returns the header fields of an endpoint's response to send to the caller. */
    fun callerHeaders(head: ResponseHead): Headers

    /** Whether a response carries the endpoint's signature; a success without it is treated as an unknown outcome. */
    fun isSigned(head: ResponseHead): Boolean

    /** Whether the body of a response is the one that the endpoint made, and not an encoding of it. */
    fun isUnencoded(head: ResponseHead): Boolean

    /** Whether an endpoint's response proves that it did not run the call. */
    fun isNotRun(head: ResponseHead): Boolean

    /** Whether the endpoint that sent a response says that it is leaving. */
    fun isLeaving(head: ResponseHead): Boolean

    /** The calls a second that the endpoint that sent a response takes from all routers together; null if it names none. */
    fun callLimit(head: ResponseHead): String?

    /** The endpoint that sent a response to a call to [intended]; null if it was another one that is not named. */
    fun responder(
        head: ResponseHead,
        intended: EndpointId,
    ): EndpointId?
}
