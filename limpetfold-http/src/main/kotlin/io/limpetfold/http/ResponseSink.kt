package io.limpetfold.http

/** The body of a streamed answer. */
interface ResponseSink {
    /** Writes [bytes], suspending until the connection has room for them. Throws [CallerDisconnectedException]. */
    suspend fun write(bytes: ByteArray)

    /** Ends the answer and suspends until it was handed to the network. Throws [CallerDisconnectedException]. */
    suspend fun finish()

    /** Closes the connection so that the caller sees a truncated answer. */
    fun abort()
}
