package io.limpetfold.gateway.call

/** Outcome of sending a call to one endpoint. */
internal sealed interface SendResult {
    /** Whether the endpoint's end of the connection closed while it ran the call. */
    val isConnectionLost: Boolean get() = false

    /** The complete response was written to the caller. */
    data class Delivered(
        val status: Int,
    ) : SendResult

    /** No byte of the call was written. */
    data class NotSent(
        val reason: String,
    ) : SendResult

    /** No byte of the call was written, because it no longer goes to this endpoint; says nothing about the endpoint. */
    data class Withdrawn(
        val reason: String,
    ) : SendResult

    /** The endpoint proved that it did not run the call. */
    data class NotRun(
        val status: Int,
    ) : SendResult

    /** The call may have run, and nothing was written to the caller. */
    data class Unknown(
        val reason: String,
        override val isConnectionLost: Boolean = false,
    ) : SendResult

    /** The endpoint's error response was dropped, because the call is repeated. */
    data class Repeated(
        val status: Int,
    ) : SendResult

    /** The endpoint was silent, and another one has taken the stream over. */
    data class HandedOver(
        val reason: String,
    ) : SendResult

    /**
     * The response was interrupted after a part of it was written to the caller; a resumable stream may be resumed at
     * another endpoint.
     */
    data class Interrupted(
        val reason: String,
        override val isConnectionLost: Boolean = false,
    ) : SendResult
}
