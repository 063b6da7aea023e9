package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.core.VersionId
import io.limpetfold.http.HostPort
import io.limpetfold.limits.EndpointPermit
import io.limpetfold.rollout.VersionChoice

/** A slot at one endpoint for one attempt of a request. */
internal class Attempt(
    val endpoint: EndpointId,
    val address: HostPort,
    val version: VersionId,
    val choice: VersionChoice,
    val permit: EndpointPermit,
)
