package io.limpetfold.http

/** A failed request to an endpoint, classified by what the endpoint may have received. */
sealed interface UpstreamError {
    val reason: Reason
    val message: String

    /** Whether the endpoint closed or reset the connection while it ran the request. */
    val isConnectionLost: Boolean get() = reason == Reason.CONNECTION_CLOSED

    enum class Reason {
        REFUSED,
        CONNECT_TIMEOUT,
        POOL_CLOSED,
        POOL_EXHAUSTED,
        INVALID_REQUEST,
        CONNECTION_CLOSED,
        FIRST_BYTE_TIMEOUT,
        IDLE_TIMEOUT,
        MALFORMED_ANSWER,
        IDENTITY_MISMATCH,
        REQUEST_BODY_FAILED,
        CANCELLED,

        /** A [SendCheck] withdrew the request. */
        WITHDRAWN,
    }

    /** No byte of the request was written. */
    data class NotSent(
        override val reason: Reason,
        override val message: String,
    ) : UpstreamError

    /** The request may have reached the endpoint, and no part of a response was returned. */
    data class OutcomeUnknown(
        override val reason: Reason,
        override val message: String,
    ) : UpstreamError

    /**
     * The response started but was not received to its end; [deliveredBytes] bytes of its body were returned to the
     * reader.
     */
    data class IncompleteResponse(
        override val reason: Reason,
        override val message: String,
        val deliveredBytes: Long,
    ) : UpstreamError
}
