package io.limpetfold.config

/** Where a router got a generation from. */
enum class ConfigSource { WATCH, POLL, PEER }
