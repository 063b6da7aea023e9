package io.limpetfold.dispatch

/**
 * Which endpoints a call prefers while its service is being moved to another version.
 *
 * @property target the version that the service is moved to.
 * @property isTargetPreferred whether the call goes to the endpoints of [target], or to those of any other version.
 * @property isFallbackAllowed whether the other endpoints may serve the call when the preferred side has none.
 */
data class VersionPreference(
    val target: String,
    val isTargetPreferred: Boolean,
    val isFallbackAllowed: Boolean,
)
