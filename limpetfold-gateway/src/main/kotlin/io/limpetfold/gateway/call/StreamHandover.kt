package io.limpetfold.gateway.call

/** Offers a stream whose endpoint is silent to another endpoint, while its own may still go on. */
internal interface StreamHandover {
    /** Whether another endpoint can be asked to take the stream over. */
    val isPossible: Boolean

    /** Asks another endpoint to go on with the stream; returns whether it has sent a part of it. */
    suspend fun offer(): Boolean

    /**
     * Whether the stream stays with its own endpoint for now, because the one that is asked has sent nothing on any
     * connection since then. True once at most in each silence; that endpoint can then be asked again.
     */
    fun postpone(): Boolean

    /** The own endpoint has sent a part of the stream, which ends its silence. */
    fun onProgress()

    /** Ends an [offer] that was accepted, if any, because the own endpoint went on first. */
    fun withdraw()
}
