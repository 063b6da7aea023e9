package io.limpetfold.ctl

import io.limpetfold.config.AllowedPattern
import kotlinx.serialization.Serializable

/**
 * Settings of `limpetfold-ctl`.
 *
 * @property platform the platform's object API, as `host:port`.
 * @property operator the name under which changes are recorded; empty means the name of the operating system's user.
 * @property routers operators' ports of the routers, as `host:port`; needed by `explain` and `budget reclaim`.
 * @property operatorsKey the key that the routers' operators' ports require.
 */
@Serializable
data class CtlSettings(
    @AllowedPattern(AllowedPattern.ADDRESS)
    val platform: String,
    val operator: String = "",
    @AllowedPattern(AllowedPattern.ADDRESS)
    val routers: List<String> = emptyList(),
    val operatorsKey: String = "",
) {
    internal fun effectiveOperator(): String = operator.ifEmpty { System.getProperty("user.name") ?: "unknown" }
}
