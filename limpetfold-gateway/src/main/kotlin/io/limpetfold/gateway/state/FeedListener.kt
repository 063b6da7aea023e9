package io.limpetfold.gateway.state

import io.limpetfold.store.ObjectPage
import io.limpetfold.store.StoreError

/** Receives the results of an [ObjectFeed], in order. */
interface FeedListener {
    /** Called with all objects as of the page's position. */
    fun onListed(page: ObjectPage)

    /**
     * Called with the objects that were written or removed up to the page's position; the page is empty if a watch
     * ended without a change.
     */
    fun onChanged(page: ObjectPage)

    /** Called when a store call failed; the feed retries it. */
    fun onFailed(error: StoreError)
}
