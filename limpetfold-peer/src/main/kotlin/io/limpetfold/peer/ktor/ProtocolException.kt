package io.limpetfold.peer.ktor

import java.io.IOException

/** The other side broke the peer protocol; its connection is closed. */
internal class ProtocolException(
    message: String,
    cause: Throwable? = null,
) : IOException(message, cause)
