package io.limpetfold.router.call

import io.limpetfold.core.EndpointId
import io.limpetfold.core.VersionId
import io.limpetfold.http.HostPort
import io.limpetfold.limits.EndpointPermit
import io.limpetfold.rollout.VersionChoice

/**
 * One attempt of a request: the endpoint it is sent to and the slot held there.
 *
 * @property versionChoice the selected version, to which the result of the attempt is reported.
 * @property permit the slot at the endpoint; it must be released when the attempt ends.
 */
internal class Attempt(
    val endpoint: EndpointId,
    val address: HostPort,
    val version: VersionId,
    val versionChoice: VersionChoice,
    val permit: EndpointPermit,
)
