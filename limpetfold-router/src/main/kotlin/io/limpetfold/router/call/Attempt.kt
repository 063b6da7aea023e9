package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.core.VersionId
import io.limpetfold.http.HostPort

/**
 * One attempt of a request and the endpoint it is sent to.
 *
 * @property resources the choice of the version and the slot at the endpoint, to which the result of the attempt is
 *   reported.
 */
internal class Attempt(
    val endpoint: EndpointId,
    val address: HostPort,
    val version: VersionId,
    val resources: AttemptResources,
)
