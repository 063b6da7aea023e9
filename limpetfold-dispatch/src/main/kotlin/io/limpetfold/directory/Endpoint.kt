package io.limpetfold.directory

import io.limpetfold.core.EndpointId
import io.limpetfold.core.ZoneId
import io.limpetfold.store.ObjectVersion
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An endpoint as the platform's store lists it.
 *
 * @property startedAtMillis when the process started, in Unix time; together with [id] it identifies one
 * incarnation. 0 when unknown.
 * @property slots maximum number of calls that the endpoint processes concurrently.
 * @property coldMillis how much longer the endpoint is slow after its start, counted from the writing of the entry.
 * @property isDraining whether the endpoint only finishes its calls and must get no new ones.
 * @property entryVersion the version of the entry in the store; [ObjectVersion.NONE] when unknown.
 */
@Serializable
data class Endpoint(
    @SerialName("endpoint")
    val id: EndpointId,
    val startedAtMillis: Long,
    val service: String,
    val host: String,
    val port: Int,
    val zone: ZoneId,
    val version: String,
    val slots: Int,
    val isDraining: Boolean = false,
    val coldMillis: Long = 0,
    val entryVersion: ObjectVersion = ObjectVersion.NONE,
)
