package io.limpetfold.router.operate

/** Whether the platform's load balancer should send callers to this router. */
internal enum class Readiness {
    /** The router is still waiting for its configuration, its seat or the list of moves. */
    STARTING,

    /** The router accepts requests. */
    READY,

    /** A graceful shutdown has begun. */
    DRAINING,
}
