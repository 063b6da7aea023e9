package io.limpetfold.platform

import io.limpetfold.http.HostPort
import java.time.Duration

/**
 * Where the platform's object API is and how long calls may take.
 *
 * @property callTimeout bound on one call; a watch may take its waiting time in addition.
 */
data class PlatformSettings(
    val address: HostPort,
    val callTimeout: Duration = Duration.ofSeconds(2),
)
