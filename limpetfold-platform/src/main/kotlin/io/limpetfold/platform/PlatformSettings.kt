package io.limpetfold.platform

import io.limpetfold.http.HostPort
import java.time.Duration

/**
 * The address of the platform's object API, and the timeout of calls to it.
 *
 * @property callTimeout the timeout of one call; for a watch, its wait is added.
 * @property maxObjectBytes maximum size of the body of a write; null if the platform states none.
 */
data class PlatformSettings(
    val address: HostPort,
    val callTimeout: Duration = Duration.ofSeconds(2),
    val maxObjectBytes: Long? = null,
)
