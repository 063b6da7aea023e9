package io.limpetfold.peer

import io.limpetfold.core.InstanceId
import java.time.Duration

/** Why a peer gave no reply. */
sealed interface PeerError {
    val message: String

    /** There is no connection to the peer; nothing was sent. */
    data class Unreachable(
        val peer: InstanceId,
    ) : PeerError {
        override val message get() = "peer $peer is unreachable; check the network between the instances"
    }

    /** No reply came within the timeout; the peer may have processed the message. */
    data class Timeout(
        val peer: InstanceId,
        val waited: Duration,
    ) : PeerError {
        override val message
            get() =
                "peer $peer did not reply within ${waited.toMillis()} ms; it may have processed the message"
    }

    /** The peer refused the message. */
    data class Rejected(
        val peer: InstanceId,
        val reason: String,
    ) : PeerError {
        /** Whether the peer has no handler for the topic, as a router of a version without it. */
        val isTopicUnknown: Boolean get() = reason.startsWith("no handler for ")

        override val message
            get() =
                "peer $peer rejected the message ($reason); check that all routers have the same version"
    }
}
