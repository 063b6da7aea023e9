package io.limpetfold.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpHeadersFactory

/**
 * Creates header fields that take `Content-Length` once.
 *
 * For HTTP/1.0, Netty uses the first length and removes the others before the head can be checked; another parser may use
 * the last one.
 */
internal object SingleLengthHeaders : HttpHeadersFactory {
    private val validators = DefaultHttpHeadersFactory.headersFactory()

    override fun newHeaders(): HttpHeaders =
        object : DefaultHttpHeaders(validators.nameValidator, validators.valueValidator) {
            override fun add(
                name: CharSequence,
                value: Any,
            ): HttpHeaders {
                require(!contains(name) || !name.contentEquals("Content-Length", ignoreCase = true)) {
                    "Content-Length is present twice"
                }
                return super.add(name, value)
            }
        }

    override fun newEmptyHeaders(): HttpHeaders = newHeaders()
}
