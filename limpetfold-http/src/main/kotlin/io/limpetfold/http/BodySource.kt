package io.limpetfold.http

/** A message body that is pulled piece by piece; while nobody pulls, no more than the stream's byte bound is read from the network. */
fun interface BodySource {
    /** Returns the next piece, or null at the end. Throws [CallerDisconnectedException] or [RequestBodyException] when the body can't be completed. */
    suspend fun next(): ByteArray?
}
