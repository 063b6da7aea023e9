package io.limpetfold.lease

import io.limpetfold.store.StoreError

/** Events of a [LeaseClient]; called from the coroutine that runs the client. */
interface LeaseListener {
    /** This instance holds the lease from now on. */
    fun onAcquired(fencing: FencingToken) = Unit

    /** Another instance holds the lease, or it was released. */
    fun onLost(fencing: FencingToken) = Unit

    /** A call to the platform failed; the remaining time keeps running down. */
    fun onError(error: StoreError) = Unit

    companion object {
        val NONE: LeaseListener = object : LeaseListener {}
    }
}
