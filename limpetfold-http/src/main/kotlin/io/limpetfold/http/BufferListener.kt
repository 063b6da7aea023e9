package io.limpetfold.http

/** Receives the number of bytes buffered for slow readers. Called on any thread; must not block. */
interface BufferListener {
    /** The process buffers [usedBytes] of at most [limitBytes]. */
    fun onProcessBytes(
        usedBytes: Long,
        limitBytes: Long,
    ) {}

    /** One direction of a connection buffers [usedBytes] of at most [limitBytes]. */
    fun onStreamBytes(
        usedBytes: Int,
        limitBytes: Int,
    ) {}

    /** A request arrived while the process was at its limit. */
    fun onRequestAtLimit() {}

    companion object {
        /** Ignores all events. */
        val NONE: BufferListener = object : BufferListener {}
    }
}
