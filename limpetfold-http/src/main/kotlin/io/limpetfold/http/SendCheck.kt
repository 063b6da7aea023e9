package io.limpetfold.http

/**
 * Decides right before the first byte of a request is written whether it may still be sent: opening a connection and
 * waiting for the event loop take time, in which the reason to send it to this address can end.
 */
fun interface SendCheck {
    /** Returns why the request may no longer be sent, or null. Called on an event loop; must not block. */
    fun withdrawal(): String?

    companion object {
        /** Withdraws no request. */
        val NONE = SendCheck { null }
    }
}
