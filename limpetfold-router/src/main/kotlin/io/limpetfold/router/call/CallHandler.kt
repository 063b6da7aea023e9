package io.limpetfold.router.call

/** Serves authenticated calls to one kind of service. */
internal fun interface CallHandler {
    /** Serves [call] and returns how it ended. */
    suspend fun handle(call: Call): CallEnd
}
