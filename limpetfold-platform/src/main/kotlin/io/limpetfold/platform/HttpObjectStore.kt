package io.limpetfold.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.limpetfold.http.Headers
import io.limpetfold.http.UpstreamBody
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamRequest
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectStore
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError
import io.limpetfold.store.StoredObject
import kotlinx.serialization.json.Json
import java.net.URLEncoder
import java.time.Duration

/**
 * The platform's object API over HTTP.
 *
 * Versions carry the era that the platform states in the header `Limpetfold-Store-Era`, 0 until it has stated one. A
 * response whose era is unknown is not used. Conditions state revisions only, so wrap it with [io.limpetfold.store.EraCheckedStore] to write across restores.
 */
class HttpObjectStore(
    client: UpstreamClient,
    settings: PlatformSettings,
) : ObjectStore {
    private val platformClient = PlatformClient(client, settings)
    private val eraReader = StoreEraReader(ERA_HEADER)

    override suspend fun get(key: ObjectKey): Result<StoredObject?, StoreError> {
        val response = platformClient.read("/v1/objects/$key").getOrElse { return Err(it) }
        if (response.head.status == NOT_FOUND) return Ok(null)
        if (response.head.status != OK) return Err(rejected(response))
        val era = eraReader.eraOf(response) ?: return Err(UNKNOWN_ERA)
        val version = version(response, era) ?: return Err(StoreError.Rejected("$key: the answer has no valid ETag"))
        return Ok(StoredObject(key, version, response.body))
    }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expected: ObjectVersion,
    ): Result<ObjectVersion, StoreError> {
        val bytes = value.encodeToByteArray()
        if (bytes.size > MAX_VALUE_BYTES) return Err(StoreError.TooLarge(bytes.size))
        val condition =
            if (expected ==
                ObjectVersion.NONE
            ) {
                "If-None-Match" to "*"
            } else {
                "If-Match" to "\"${expected.revision}\""
            }
        val headers = Headers.of(condition, "Content-Type" to "application/json")
        val request = UpstreamRequest("PUT", "/v1/objects/$key", headers, UpstreamBody.Bytes(bytes))
        val response = platformClient.write(request).getOrElse { return Err(it) }
        return when (response.head.status) {
            OK, CREATED, NO_CONTENT ->
                // The write took effect, but without an ETag or an era its version is unknown: the caller has to read it.
                version(response)?.let { Ok(it) }
                    ?: Err(StoreError.OutcomeUnknown("$key: the answer has no valid ETag or era"))
            PRECONDITION_FAILED -> Err(StoreError.Conflict(key, version(response) ?: ObjectVersion.NONE))
            TOO_LARGE -> Err(StoreError.TooLarge(bytes.size))
            else -> Err(rejected(response))
        }
    }

    override suspend fun list(prefix: String): Result<ObjectPage, StoreError> =
        page("prefix=${encode(prefix)}", Duration.ZERO)

    override suspend fun watch(
        prefix: String,
        after: ObjectVersion,
        wait: Duration,
    ): Result<ObjectPage, StoreError> =
        page("prefix=${encode(prefix)}&after=${after.revision}&waitMillis=${wait.toMillis()}", wait)

    private suspend fun page(
        query: String,
        wait: Duration,
    ): Result<ObjectPage, StoreError> {
        val response = platformClient.read("/v1/objects?$query", wait).getOrElse { return Err(it) }
        if (response.head.status != OK) return Err(rejected(response))
        val era = eraReader.eraOf(response) ?: return Err(UNKNOWN_ERA)
        return try {
            Ok(JSON.decodeFromString(WirePage.serializer(), response.body).toPage(era))
        } catch (e: IllegalArgumentException) {
            Err(StoreError.Rejected("the listing does not decode: ${e.message?.take(MAX_DETAIL_CHARS)}"))
        }
    }

    private fun version(response: PlatformClient.Response): ObjectVersion? =
        eraReader.eraOf(response)?.let { version(response, it) }

    private fun version(
        response: PlatformClient.Response,
        era: Long,
    ): ObjectVersion? =
        response.head.headers["ETag"]
            ?.removeSurrounding("\"")
            ?.toLongOrNull()
            ?.takeIf { it in 0..ObjectVersion.MAX_REVISION }
            ?.let { ObjectVersion.of(it, era) }

    private fun rejected(response: PlatformClient.Response) = StoreError.Rejected("status ${response.head.status}")

    private fun encode(text: String) = URLEncoder.encode(text, Charsets.UTF_8)

    private companion object {
        const val ERA_HEADER = "Limpetfold-Store-Era"
        val UNKNOWN_ERA = StoreError.Unavailable("the response has no valid era")
        const val OK = 200
        const val CREATED = 201
        const val NO_CONTENT = 204
        const val NOT_FOUND = 404
        const val PRECONDITION_FAILED = 412
        const val TOO_LARGE = 413
        const val MAX_VALUE_BYTES = 1_000_000
        const val MAX_DETAIL_CHARS = 200
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
