package io.limpetfold.router.call

/** Answers authenticated calls to one kind of service. */
internal fun interface CallHandler {
    /** Answers [call] and tells how it ended. */
    suspend fun handle(call: Call): CallEnd
}
