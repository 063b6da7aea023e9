package io.limpetfold.http

/** Sees the bytes held for slow readers; called on any thread and must not block. */
interface BufferListener {
    /** The process holds [usedBytes] of [limitBytes]. */
    fun onProcessBytes(
        usedBytes: Long,
        limitBytes: Long,
    ) {}

    /** One direction of one connection holds [usedBytes] of [limitBytes]. */
    fun onStreamBytes(
        usedBytes: Int,
        limitBytes: Int,
    ) {}

    /** A request arrived while the process was at its bound. */
    fun onRequestAtLimit() {}

    companion object {
        /** Ignores all events. */
        val NONE: BufferListener = object : BufferListener {}
    }
}
