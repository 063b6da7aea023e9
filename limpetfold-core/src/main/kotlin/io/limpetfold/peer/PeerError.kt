package io.limpetfold.peer

import io.limpetfold.core.InstanceId
import java.time.Duration

/** Why a peer gave no answer. */
sealed interface PeerError {
    val message: String

    /** There is no connection to the peer; nothing was sent. */
    data class Unreachable(
        val peer: InstanceId,
    ) : PeerError {
        override val message get() = "peer $peer is unreachable; check the network between the instances"
    }

    /** No answer came in time; the peer may have acted on the message. */
    data class Timeout(
        val peer: InstanceId,
        val waited: Duration,
    ) : PeerError {
        override val message get() = "peer $peer did not answer within ${waited.toMillis()} ms; its state is unknown"
    }

    /** The peer refused the message. */
    data class Rejected(
        val peer: InstanceId,
        val reason: String,
    ) : PeerError {
        override val message get() = "peer $peer rejected the message ($reason); check that all routers have the same version"
    }
}
