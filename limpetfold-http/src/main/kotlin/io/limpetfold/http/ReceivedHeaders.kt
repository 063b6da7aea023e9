package io.limpetfold.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * The header fields of a received head; several fields of a name are never replaced by one.
 *
 * Netty's decoder takes the first of several `Content-Length` fields of an HTTP/1.0 message and removes the others. The
 * head is malformed instead. It also leaves a blank before a value whose first line is empty and folded, which would keep
 * lengths and ids from being recognised; the blank is not part of the value (RFC 9110).
 */
internal class ReceivedHeaders : DefaultHttpHeaders() {
    override fun add(
        name: CharSequence,
        value: Any,
    ): HttpHeaders = super.add(name, if (value is CharSequence) value.trimStart(' ', '\t') else value)

    override fun set(
        name: CharSequence,
        value: Any,
    ): HttpHeaders {
        require(getAll(name).size <= 1) { "the field $name stands more than once" }
        return super.set(name, value)
    }

    /** Creates the headers of each received head. */
    object Factory : HttpHeadersFactory {
        override fun newHeaders(): HttpHeaders = ReceivedHeaders()

        override fun newEmptyHeaders(): HttpHeaders = ReceivedHeaders()
    }
}
