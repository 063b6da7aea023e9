package io.limpetfold.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.serialization.Serializable

/**
 * A service that requests are routed to.
 *
 * @property name the service name in the platform's instance list.
 * @property isFencingChecked whether its endpoints refuse orders with a stale fencing token.
 */
@Serializable
data class ServiceConfig(
    @AllowedPattern(AllowedPattern.NAME)
    val name: String,
    val kind: ServiceKind,
    val isFencingChecked: Boolean = false,
    @Serializable(with = ImmutableListSerializer::class)
    val versions: ImmutableList<ServiceVersion>,
)
