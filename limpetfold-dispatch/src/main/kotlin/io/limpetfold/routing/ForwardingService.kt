package io.limpetfold.routing

/**
 * A service that calls are forwarded to.
 *
 * @property maxConnections connections that one endpoint accepts from all routers together.
 * @property engine null for a plain service.
 */
data class ForwardingService(
    val name: String,
    val healthPath: String,
    val maxConnections: Int,
    val engine: EngineTraits?,
)
