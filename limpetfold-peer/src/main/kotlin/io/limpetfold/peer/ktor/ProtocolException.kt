package io.limpetfold.peer.ktor

import java.io.IOException

/** Closes the connection to a peer: it violated the protocol, timed out or is refused. */
internal class ProtocolException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
