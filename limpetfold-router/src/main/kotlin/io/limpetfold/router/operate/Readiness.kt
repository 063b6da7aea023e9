package io.limpetfold.router.operate

/** Whether the platform's balancer should send callers to this router. */
internal enum class Readiness {
    /** No configuration has arrived yet. */
    STARTING,

    /** The router takes requests. */
    READY,

    /** A planned stop has begun. */
    DRAINING,
}
