package io.limpetfold.http

/** The body of a request to an endpoint. */
sealed interface UpstreamBody {
    data object None : UpstreamBody

    /** A body held in memory. */
    class Bytes(
        val bytes: ByteArray,
    ) : UpstreamBody

    /** A body that is streamed piece by piece, chunked unless [lengthBytes] is given. */
    class Stream(
        val source: BodySource,
        val lengthBytes: Long? = null,
    ) : UpstreamBody
}
