package io.limpetfold.quarantine

import java.time.Duration

/**
 * Bounds of a [PromptPartQuarantine].
 *
 * @property minCrashes crashes at different times after which a part is quarantined.
 * @property minEndpoints endpoints among them, so that one endpoint that keeps failing marks no part.
 * @property minSuspectCrashes crashes after which calls that contain the part are not retried.
 * @property simultaneousWindow crashes that are closer together have one cause, such as a loss of power, and count once.
 * @property sameCrashWindow reports of one endpoint that are closer together are reports of one crash.
 * @property crashWindow how long a crash counts.
 * @property answeredWindow how long a part counts as harmless after a call that contains it was answered.
 * @property firstQuarantine how long a part is quarantined at first. Afterwards calls that contain it are sent again, and
 * one crash within the same time quarantines it for twice as long, up to [maxQuarantine].
 * @property maxCrashes recent crashes to keep.
 * @property maxAnsweredParts parts of answered calls to keep.
 * @property maxQuarantinedParts parts in quarantine; further ones are not quarantined before one of these ends.
 */
data class QuarantinePolicy(
    val minCrashes: Int = 3,
    val minEndpoints: Int = 2,
    val minSuspectCrashes: Int = 2,
    val simultaneousWindow: Duration = SIMULTANEOUS_WINDOW,
    val sameCrashWindow: Duration = Duration.ofSeconds(2),
    val crashWindow: Duration = Duration.ofMinutes(5),
    val answeredWindow: Duration = Duration.ofMinutes(5),
    val firstQuarantine: Duration = Duration.ofMinutes(10),
    val maxQuarantine: Duration = Duration.ofHours(4),
    val maxCrashes: Int = 128,
    val maxAnsweredParts: Int = 8_192,
    val maxQuarantinedParts: Int = 64,
) {
    init {
        require(minSuspectCrashes in 1..minCrashes) { "minSuspectCrashes must be in 1..minCrashes" }
        require(minEndpoints in 1..minCrashes) { "minEndpoints must be in 1..minCrashes" }
        require(firstQuarantine <= maxQuarantine) { "firstQuarantine must not be above maxQuarantine" }
    }

    private companion object {
        val SIMULTANEOUS_WINDOW: Duration = Duration.ofMillis(150)
    }
}
