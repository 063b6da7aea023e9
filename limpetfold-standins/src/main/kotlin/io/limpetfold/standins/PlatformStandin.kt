package io.limpetfold.standins

import io.limpetfold.http.Headers
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpHandler
import io.limpetfold.http.cancelOnDisconnect
import io.limpetfold.peer.ListedInstance
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import java.net.URLDecoder
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.TimeSource

/**
 * A stand-in of the platform: object API, instance list, and faults set by `POST /admin/faults`.
 *
 * `POST /admin/copy` makes a copy of the objects, and `POST /admin/restore` begins a new era with it. Responses state the
 * era of the store in `Limpetfold-Store-Era` from the first restore on.
 */
class PlatformStandin(
    settings: PlatformStandinSettings = PlatformStandinSettings(),
    time: TimeSource = TimeSource.Monotonic,
) : HttpHandler {
    val objects = PlatformObjects()
    val instances = InstanceList(settings.instances, settings.listLagMillis)
    private val writes = TokenBucket(settings.writesPerSecond, time)
    private val reads = TokenBucket(settings.readsPerSecond, time)
    private val random = Random(settings.seed)
    private val counts = ConcurrentHashMap<String, AtomicLong>()
    private val waitingWatches = AtomicInteger()

    /** The active faults. */
    @Volatile
    var faults: List<FaultSettings> = settings.faults

    override suspend fun handle(exchange: HttpExchange) {
        val path = exchange.head.path
        if (path.startsWith("/admin/")) return admin(exchange)
        val isWrite = exchange.head.method == "PUT"
        val fault = drawFault(exchange.head.method, path)
        if (fault != null && fault.latencyMillis > 0) delay(fault.latencyMillis)
        if (fault?.kind == FaultSettings.Kind.REQUEST_LOST) {
            count("requestsLost")
            return closeWithoutResponse(exchange)
        }
        if (fault?.kind == FaultSettings.Kind.OUTAGE) {
            count("outages")
            return exchange.fail(503, "unavailable", "the platform is down", "no")
        }
        val limit = if (isWrite) writes else reads
        if (!limit.tryAcquire()) {
            count("rateLimited")
            return exchange.fail(429, "rate_limited", "too many calls", "no", Headers.of("Retry-After" to "1"))
        }
        count(if (isWrite) "writes" else "reads")
        val isResponseLost = fault?.kind == FaultSettings.Kind.ANSWER_LOST
        if (isResponseLost) count("answersLost")
        serve(exchange, path, isResponseLost)
    }

    /** The counts of calls and faults by kind, and the number of watches that wait now. */
    fun stats(): Map<String, Long> =
        counts.mapValues { it.value.get() }.toSortedMap() + ("waitingWatches" to waitingWatches.get().toLong())

    private suspend fun serve(
        exchange: HttpExchange,
        path: String,
        isResponseLost: Boolean,
    ) {
        val key = URLDecoder.decode(path.removePrefix("/v1/objects/"), Charsets.UTF_8)
        when {
            path == "/v1/instances" && exchange.head.method == "GET" ->
                if (isResponseLost) {
                    closeWithoutResponse(
                        exchange,
                    )
                } else {
                    exchange.respondJson(ListSerializer(ListedInstance.serializer()), instances.visible())
                }
            path == "/v1/objects" && exchange.head.method == "GET" ->
                if (isResponseLost) {
                    closeWithoutResponse(
                        exchange,
                    )
                } else {
                    list(exchange)
                }
            !path.startsWith("/v1/objects/") -> exchange.fail(404, "not_found", "no such path", "no")
            exchange.head.method == "GET" -> if (isResponseLost) closeWithoutResponse(exchange) else read(exchange, key)
            exchange.head.method == "PUT" -> write(exchange, key, isResponseLost)
            else -> exchange.fail(405, "method_not_allowed", "use GET or PUT", "no")
        }
    }

    private suspend fun read(
        exchange: HttpExchange,
        key: String,
    ) {
        val (stored, era) = objects.withEra { get(key) }
        val found = stored ?: return exchange.fail(404, "not_found", "no such object", "no")
        exchange.respond(200, versionHeaders(found.version).withEra(era), found.value.encodeToByteArray())
    }

    private suspend fun write(
        exchange: HttpExchange,
        key: String,
        isResponseLost: Boolean,
    ) {
        val value = exchange.readBody(MAX_VALUE_BYTES).decodeToString()
        val match =
            exchange.head.headers["If-Match"]
                ?.removeSurrounding("\"")
                ?.toLongOrNull()
        val mustNotExist = exchange.head.headers["If-None-Match"] == "*"
        if ((match == null) == !mustNotExist) {
            return exchange.fail(428, "condition_required", "send If-Match or If-None-Match: *", "no")
        }
        val (written, era) = objects.withEra { put(key, value, match ?: 0) }
        if (isResponseLost) return closeWithoutResponse(exchange)
        when (written) {
            is PlatformObjects.PutResult.Stored ->
                exchange.respond(200, versionHeaders(written.version).withEra(era))
            is PlatformObjects.PutResult.Conflict -> {
                count("conflicts")
                exchange.fail(
                    412,
                    "conflict",
                    "the object has another version",
                    "no",
                    Headers.of("ETag" to "\"${written.current}\"").withEra(era),
                )
            }
        }
    }

    private suspend fun list(exchange: HttpExchange) {
        val prefix = exchange.head.query("prefix").orEmpty()
        val after = exchange.head.query("after")?.toLongOrNull() ?: 0
        val waitMillis =
            exchange.head
                .query("waitMillis")
                ?.toLongOrNull()
                ?.coerceAtMost(MAX_WAIT_MILLIS) ?: 0
        waitingWatches.incrementAndGet()
        try {
            exchange.cancelOnDisconnect { objects.awaitChange(prefix, after, waitMillis) }
        } finally {
            waitingWatches.decrementAndGet()
        }
        val (listed, era) = objects.withEra { list(prefix, after) }
        val (found, position) = listed
        val page = Page(found.map { PageObject(it.key, it.version, it.value) }, position)
        exchange.respond(
            200,
            JSON_HEADERS.withEra(era),
            JSON.encodeToString(Page.serializer(), page).encodeToByteArray(),
        )
    }

    private fun versionHeaders(version: Long) = JSON_HEADERS.with("ETag", "\"$version\"")

    private fun Headers.withEra(era: Long): Headers =
        if (era == 0L) this else with("Limpetfold-Store-Era", era.toString())

    private suspend fun admin(exchange: HttpExchange) {
        val path = "${exchange.head.method} ${exchange.head.path}"
        val body = exchange.readBody(MAX_VALUE_BYTES).decodeToString()
        try {
            when (path) {
                "POST /admin/faults" -> faults = JSON.decodeFromString(ListSerializer(FaultSettings.serializer()), body)
                "POST /admin/instances" ->
                    instances.replace(
                        JSON.decodeFromString(ListSerializer(ListedInstance.serializer()), body),
                    )
                "POST /admin/lag" -> instances.lagMillis = JSON.decodeFromString(Lag.serializer(), body).listLagMillis
                "POST /admin/copy" -> objects.copy()
                "POST /admin/restore" -> objects.restore()
                "GET /admin/stats" -> Unit
                else -> return exchange.fail(404, "not_found", "no such path", "no")
            }
        } catch (e: SerializationException) {
            return exchange.fail(400, "invalid_request", e.message.orEmpty(), "no")
        } catch (e: IllegalArgumentException) {
            return exchange.fail(400, "invalid_request", e.message.orEmpty(), "no")
        }
        exchange.respondJson(Stats.serializer(), Stats(stats()))
    }

    private fun drawFault(
        method: String,
        path: String,
    ): FaultSettings? {
        val fault =
            faults.lastOrNull { path.startsWith(it.pathPrefix) && (it.method.isEmpty() || it.method == method) }
                ?: return null
        return fault.takeIf { synchronized(random) { random.nextDouble() } < it.probability }
    }

    /** Closes the connection without a response. */
    private suspend fun closeWithoutResponse(exchange: HttpExchange) =
        exchange
            .respondStream(
                200,
                Headers.of(
                    "Content-Length" to "1",
                ),
            ).abort()

    private fun count(kind: String) {
        counts.computeIfAbsent(kind) { AtomicLong() }.incrementAndGet()
    }

    @Serializable
    private data class PageObject(
        val key: String,
        val version: Long,
        val value: String,
    )

    @Serializable
    private data class Page(
        val objects: List<PageObject>,
        val position: Long,
    )

    @Serializable
    private data class Lag(
        val listLagMillis: Long,
    )

    @Serializable
    private data class Stats(
        val counts: Map<String, Long>,
    )

    private companion object {
        const val MAX_VALUE_BYTES = 1_000_000
        const val MAX_WAIT_MILLIS = 60_000L
    }
}
