package io.limpetfold.http

/** Writes the body of a streamed response. */
interface ResponseSink {
    /** Writes [bytes], suspending while the connection's buffer is full. Throws [CallerDisconnectedException]. */
    suspend fun write(bytes: ByteArray)

    /** Ends the response and waits until it was written to the network. Throws [CallerDisconnectedException]. */
    suspend fun finish()

    /** Closes the connection, so that the caller can tell that the response is truncated. */
    fun abort()
}
