package io.limpetfold.core

import kotlinx.serialization.Serializable

/** Identifies a workspace: the customer that prepays a token budget and owns requests. */
@Serializable
@JvmInline
value class WorkspaceId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a route from callers to the endpoints of one service. */
@Serializable
@JvmInline
value class RouteId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one endpoint: a single replica that requests are sent to. */
@Serializable
@JvmInline
value class EndpointId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifies a version of a service's endpoints. */
@Serializable
@JvmInline
value class VersionId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifies an instance that runs a router; assigned by the platform, and a replacement process may reuse it. */
@Serializable
@JvmInline
value class InstanceId(
    val value: String,
) : Comparable<InstanceId> {
    override fun compareTo(other: InstanceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies an availability zone. */
@Serializable
@JvmInline
value class ZoneId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifies one request within a workspace; a caller that retries a request sends the same id again. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}
