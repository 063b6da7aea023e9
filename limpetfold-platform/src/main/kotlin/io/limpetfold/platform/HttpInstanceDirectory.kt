package io.limpetfold.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.http.UpstreamClient
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.store.StoreError
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

/** The platform's instance list over HTTP. The list may lag behind the actual instances by a minute. */
class HttpInstanceDirectory(
    client: UpstreamClient,
    settings: PlatformSettings,
) : InstanceDirectory {
    private val platformClient = PlatformClient(client, settings)

    override suspend fun list(): Result<ImmutableList<ListedInstance>, StoreError> {
        val response = platformClient.read("/v1/instances").getOrElse { return Err(it) }
        if (response.head.status != OK) return Err(StoreError.Rejected("instance list: status ${response.head.status}"))
        return try {
            Ok(JSON.decodeFromString(ListSerializer(ListedInstance.serializer()), response.body).toImmutableList())
        } catch (e: IllegalArgumentException) {
            Err(StoreError.Rejected("the instance list does not decode: ${e.message?.take(MAX_DETAIL_CHARS)}"))
        }
    }

    private companion object {
        const val OK = 200
        const val MAX_DETAIL_CHARS = 200
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
