package io.limpetfold.membership

import java.time.Duration

/**
 * Intervals and limits of [Membership]; above [fullMeshLimit] the intervals and the heartbeat timeout are longer.
 *
 * @property heartbeatInterval time between two heartbeats to the same peer.
 * @property heartbeatTimeout a member without a heartbeat for this long is unreachable.
 * @property directoryInterval time between two reads of the platform's list; each read counts against the rate limit of
 * the platform.
 * @property fullMeshLimit maximum number of other routers with which every router connects to every other.
 * @property maxConnections maximum number of peers that a router connects to above [fullMeshLimit].
 * @property endedAfterAbsence an instance that has been missing from the list for this long counts as ended.
 */
data class MembershipPolicy(
    val heartbeatInterval: Duration = Duration.ofSeconds(2),
    val heartbeatTimeout: Duration = Duration.ofSeconds(8),
    val directoryInterval: Duration = Duration.ofSeconds(5),
    val fullMeshLimit: Int = 16,
    val maxConnections: Int = 12,
    val endedAfterAbsence: Duration = Duration.ofSeconds(60),
)
