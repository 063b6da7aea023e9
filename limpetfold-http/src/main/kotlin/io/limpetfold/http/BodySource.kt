package io.limpetfold.http

/**
 * A message body that its reader pulls piece by piece.
 *
 * Back-pressure: without a pull, the connection reads no more than the stream's byte limit ahead.
 */
fun interface BodySource {
    /**
     * Returns the next piece, or null at the end.
     *
     * Throws [CallerDisconnectedException] or [RequestBodyException] when the rest of the body can't be received.
     */
    suspend fun next(): ByteArray?
}
