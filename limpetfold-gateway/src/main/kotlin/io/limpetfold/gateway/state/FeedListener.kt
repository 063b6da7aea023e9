package io.limpetfold.gateway.state

import io.limpetfold.store.ObjectPage
import io.limpetfold.store.StoreError

/** Takes what an [ObjectFeed] learns, in order. */
interface FeedListener {
    /** All objects as of the page's position. */
    fun onListed(page: ObjectPage)

    /** Objects that were written or removed up to the page's position; empty when a watch ended without a change. */
    fun onChanged(page: ObjectPage)

    /** A call failed; the feed goes on by itself. */
    fun onFailed(error: StoreError)
}
