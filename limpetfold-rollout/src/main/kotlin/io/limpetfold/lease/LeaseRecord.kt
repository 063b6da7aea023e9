package io.limpetfold.lease

import io.limpetfold.core.Incarnation
import kotlinx.serialization.Serializable

/**
 * The stored lease.
 *
 * No two writes store equal records: an acquisition increases [fencing], a renewal increases [renewal].
 *
 * @property fencing the token of the latest holder; it is kept after a release, so that the next holder's is larger.
 * @property holder null after a release.
 * @property timeToLiveMillis how long the record must stay unchanged before another instance may acquire the lease.
 * @property renewal the number of renewals and releases since the acquisition, or since the record was written again
 *   after a restore of the store.
 * @property era the era of the store in which the write was based; the record proves nothing in other eras.
 */
@Serializable
data class LeaseRecord(
    val fencing: FencingToken,
    val holder: Incarnation?,
    val timeToLiveMillis: Long,
    val renewal: Long,
    val era: Long = 0,
)
