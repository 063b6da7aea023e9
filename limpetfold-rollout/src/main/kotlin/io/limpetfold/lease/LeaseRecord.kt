package io.limpetfold.lease

import io.limpetfold.core.Incarnation
import kotlinx.serialization.Serializable

/**
 * The stored lease.
 *
 * No two writes store equal records: an acquisition increases [fencing], a renewal increases [renewal].
 *
 * @property fencing the number of the latest holder; it stays in the object after a release, so that the next holder's is larger.
 * @property holder null after a release.
 * @property timeToLiveMillis how long a taker must see the object unchanged.
 * @property renewal counts the writes of the holder.
 */
@Serializable
data class LeaseRecord(
    val fencing: FencingToken,
    val holder: Incarnation?,
    val timeToLiveMillis: Long,
    val renewal: Long,
)
