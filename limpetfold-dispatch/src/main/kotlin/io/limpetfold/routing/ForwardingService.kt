package io.limpetfold.routing

/**
 * A service that calls are forwarded to.
 *
 * @property maxConnections maximum number of connections that one endpoint accepts from all routers together.
 * @property engine traits of its model engines; null for a service that runs no models.
 */
data class ForwardingService(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineTraits?,
)
