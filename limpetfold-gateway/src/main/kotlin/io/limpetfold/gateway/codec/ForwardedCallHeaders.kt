package io.limpetfold.gateway.codec

import io.limpetfold.core.EndpointId
import io.limpetfold.core.WorkspaceId
import java.time.Duration

/**
 * Values of the header fields that a router sends to an endpoint with a forwarded call.
 *
 * @property remaining time until the caller's deadline or the end of the route's timeout, whichever is first.
 * @property endpoint the intended endpoint; a different endpoint at the same address refuses the call.
 * @property priority 0 is the most urgent.
 * @property lastEventId id of the event after which the stream is resumed; null to start the stream.
 */
data class ForwardedCallHeaders(
    val remaining: Duration,
    val endpoint: EndpointId,
    val workspace: WorkspaceId?,
    val priority: Int?,
    val lastEventId: String?,
)
