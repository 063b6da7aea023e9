package io.limpetfold.gateway.operate

/** Whether a router accepts new connections; the readiness probe returns the lower-case name. */
internal enum class Readiness {
    /** The configuration or the endpoint list has not been read yet. */
    STARTING,

    /** Accepts new connections. */
    READY,

    /** A graceful shutdown is in progress. */
    STOPPING,
}
