package io.limpetfold.config

/** How a router received a generation: by a watch of the platform, by a poll of it, or from a peer. */
enum class ConfigSource { WATCH, POLL, PEER }
