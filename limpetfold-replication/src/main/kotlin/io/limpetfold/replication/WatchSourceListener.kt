package io.limpetfold.replication

import io.limpetfold.core.InstanceId

/** Is notified when the watches of a prefix move between the store and a relay. */
fun interface WatchSourceListener {
    /** The watches of [prefix] are now answered by [relay], or by the store itself if it is null. */
    fun onSourceChanged(
        prefix: String,
        relay: InstanceId?,
    )

    companion object {
        /** Ignores all changes. */
        val NONE: WatchSourceListener = WatchSourceListener { _, _ -> }
    }
}
