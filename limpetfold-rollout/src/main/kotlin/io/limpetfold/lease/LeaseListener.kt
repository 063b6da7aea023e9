package io.limpetfold.lease

import io.limpetfold.store.StoreError

/** Events of a [LeaseClient]; called from the coroutine that runs the client. */
interface LeaseListener {
    /** This instance acquired the lease. */
    fun onAcquired(fencing: FencingToken) = Unit

    /** This instance no longer holds the lease: another one acquired it, or it was released. */
    fun onLost(fencing: FencingToken) = Unit

    /** A call to the platform failed; a held lease expires unless a later renewal succeeds. */
    fun onError(error: StoreError) = Unit

    companion object {
        val NONE: LeaseListener = object : LeaseListener {}
    }
}
