package io.limpetfold.quarantine

import io.limpetfold.core.EndpointId
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.Serializable

/**
 * What one router knows of crashes and of the parts that may have caused them. Times are ages, because routers have no
 * common clock.
 *
 * @property answerAgeMillis for each part of a crashed call that calls which were answered contain too, the age of the
 * last answer.
 * @property stored what the store holds as far as the router knows, at version [storedVersion] of the object.
 */
@Serializable
data class QuarantineReport(
    val crashes: List<CrashReport> = emptyList(),
    val quarantined: List<QuarantinedPartReport> = emptyList(),
    val answerAgeMillis: Map<String, Long> = emptyMap(),
    val stored: StoredQuarantine? = null,
    val storedVersion: ObjectVersion = ObjectVersion.NONE,
)

/**
 * The end of [endpoint] while it ran calls.
 *
 * @property prompts the shared parts of the prompts of these calls, in order.
 */
@Serializable
data class CrashReport(
    val endpoint: EndpointId,
    val ageMillis: Long,
    val prompts: Set<List<String>>,
)

/**
 * A part in quarantine.
 *
 * @property remainingMillis time until calls that contain the part are sent again.
 * @property durationMillis the whole duration of this quarantine.
 */
@Serializable
data class QuarantinedPartReport(
    val part: String,
    val remainingMillis: Long,
    val durationMillis: Long,
)
