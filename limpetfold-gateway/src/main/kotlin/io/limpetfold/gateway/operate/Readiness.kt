package io.limpetfold.gateway.operate

/** Whether a router takes new connections. */
internal enum class Readiness {
    /** Configuration or endpoint list were not read yet. */
    STARTING,

    /** New connections are welcome. */
    READY,

    /** A planned stop is under way. */
    STOPPING,
}
