package io.limpetfold.config.yaml

import io.limpetfold.config.AllowedPattern
import io.limpetfold.config.ImmutableListSerializer
import io.limpetfold.config.RouteConfig
import io.limpetfold.config.ServiceConfig
import io.limpetfold.config.ServiceKind
import io.limpetfold.config.ServiceVersion
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable

/** The configuration file of one service, kept next to the code of the service. */
@Serializable
data class ServiceFile(
    @AllowedPattern(AllowedPattern.NAME)
    val service: String,
    val kind: ServiceKind,
    val isFencingChecked: Boolean = false,
    @Serializable(with = ImmutableListSerializer::class)
    val versions: ImmutableList<ServiceVersion>,
    @Serializable(with = ImmutableListSerializer::class)
    val routes: ImmutableList<RouteConfig> = persistentListOf(),
) {
    internal fun toService() = ServiceConfig(service, kind, isFencingChecked, versions)

    internal fun toRoutes() = routes.map { if (it.service.isEmpty()) it.copy(service = service) else it }
}
