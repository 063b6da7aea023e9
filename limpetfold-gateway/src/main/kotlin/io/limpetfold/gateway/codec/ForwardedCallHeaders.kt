package io.limpetfold.gateway.codec

import io.limpetfold.core.EndpointId
import io.limpetfold.core.WorkspaceId
import java.time.Duration

/**
 * What a router tells an endpoint about a forwarded call.
 *
 * @property remaining what is left of the caller's deadline and the route's timeout.
 * @property endpoint the endpoint that is meant; another one at the same address refuses the call.
 * @property priority 0 is the most urgent.
 * @property lastEventId the stream goes on after this event; null to begin it.
 */
data class ForwardedCallHeaders(
    val remaining: Duration,
    val endpoint: EndpointId,
    val workspace: WorkspaceId?,
    val priority: Int?,
    val lastEventId: String?,
)
