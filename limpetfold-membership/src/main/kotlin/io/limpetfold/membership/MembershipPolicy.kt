package io.limpetfold.membership

import java.time.Duration

/**
 * Intervals and bounds of membership; above [fullMeshLimit] heartbeats and list reads are spaced further apart.
 *
 * @property heartbeatInterval time between two heartbeats to the same peer.
 * @property heartbeatTimeout a member that was not heard for this long is no longer counted as reachable.
 * @property directoryInterval time between two readings of the platform's list; each reading counts against the platform's rate.
 * @property fullMeshLimit up to this number of other routers, each connects to every other.
 * @property maxConnections above the full mesh, the number of peers that a router connects to.
 * @property endedAfterAbsence an instance that the list has not shown for this long has ended.
 */
data class MembershipPolicy(
    val heartbeatInterval: Duration = Duration.ofSeconds(2),
    val heartbeatTimeout: Duration = Duration.ofSeconds(8),
    val directoryInterval: Duration = Duration.ofSeconds(5),
    val fullMeshLimit: Int = 16,
    val maxConnections: Int = 12,
    val endedAfterAbsence: Duration = Duration.ofSeconds(60),
)
