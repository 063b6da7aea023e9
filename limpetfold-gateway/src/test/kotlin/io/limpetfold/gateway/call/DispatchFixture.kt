package io.limpetfold.gateway.call

import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.ZoneId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.dispatch.EndpointPicker
import io.limpetfold.dispatch.FleetRetryBudgetPolicy
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.CallCodec
import io.limpetfold.gateway.codec.CallHeaders
import io.limpetfold.gateway.codec.ForwardedCallHeaders
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.gateway.observe.EndpointNoticeObserver
import io.limpetfold.gateway.observe.GatewayMetrics
import io.limpetfold.http.BodySource
import io.limpetfold.http.BufferBudget
import io.limpetfold.http.Headers
import io.limpetfold.http.HttpEventLoops
import io.limpetfold.http.HttpExchange
import io.limpetfold.http.HttpServer
import io.limpetfold.http.HttpServerSettings
import io.limpetfold.http.RequestHead
import io.limpetfold.http.ResponseHead
import io.limpetfold.http.ResponseSink
import io.limpetfold.http.UpstreamClient
import io.limpetfold.http.UpstreamSettings
import io.limpetfold.quarantine.PromptPartQuarantine
import io.limpetfold.rollout.timed.TimedVersionSelector
import io.limpetfold.routing.CallKind
import io.limpetfold.routing.ForwardingRoute
import io.limpetfold.routing.KeyRequirement
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.WeightedService
import io.limpetfold.store.ObjectVersion
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.withContext
import java.time.Duration
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random
import kotlin.time.TimeSource

private const val REQUEST_ID = "Request-Id"
private const val REMAINING = "Remaining-Millis"
private const val SERVICE = "app"

/** A [CallDispatcher] on one event loop, as in a router, with a clock of the test, and endpoints that answer at once. */
internal class DispatchFixture(
    timeSource: TimeSource,
) : AutoCloseable {
    private val endpointLoops = HttpEventLoops(threads = 1)
    private val loops = HttpEventLoops(threads = 1)
    private val buffers = BufferBudget()
    private val client = UpstreamClient(UpstreamSettings(), loops, buffers, dispatcher = loops.dispatcher)
    private val servers = mutableListOf<HttpServer>()
    private val policy = CallPolicy()
    private val directory = EndpointDirectory()
    private val picker = EndpointPicker(directory, ZoneId("z1"), random = Random(1))
    private val codec = PlainCodec()
    private val notices =
        EndpointNotices(picker, codec, MonotonicClock(), EndpointNoticeObserver(DecisionLog("test"), GatewayMetrics()))
    private var revision = 0L

    val clock = MonotonicClock(timeSource)

    /** Each call that ran, as the id of its endpoint and the time that the endpoint was told it has, in milliseconds. */
    val runs = CopyOnWriteArrayList<Pair<String, Long>>()

    private val dispatcher =
        CallDispatcher(
            picker,
            EndpointSender(client, codec, clock, policy, notices),
            PromptPartQuarantine(),
            codec,
            clock,
            policy,
            { FleetRetryBudgetPolicy(retryRatio = 0.0, minRetries = 0.0, window = Duration.ofSeconds(10)) },
            TimedVersionSelector(Incarnation(InstanceId("r-1"), 1), clock::now),
        ) { 1 }

    /** Starts an endpoint, which is not in the directory yet. */
    fun endpoint(id: String): Endpoint {
        val server =
            HttpServer(
                HttpServerSettings(),
                endpointLoops,
                buffers,
                {
                    runs += id to checkNotNull(it.head.headers[REMAINING]).toLong()
                    it.respond(200, Headers.of(REQUEST_ID to checkNotNull(it.head.headers[REQUEST_ID])))
                },
                endpointLoops.dispatcher,
            ).start()
        servers += server
        return Endpoint(EndpointId(id), 1, SERVICE, server.address.host, server.address.port, ZoneId("z1"), "v1", 8)
    }

    /** Applies a change of the directory, as a watch of the store delivers it. */
    fun change(vararg endpoints: Endpoint) {
        revision++
        val version = ObjectVersion.of(0, revision)
        if (revision == 1L) {
            directory.applyList(endpoints.toList(), version, clock.now())
        } else {
            directory.applyChanges(endpoints.toList(), emptyList(), version, clock.now())
        }
    }

    /** Dispatches a call that may be sent to one endpoint only, and that has [timeout]. */
    suspend fun call(timeout: Duration = Duration.ofSeconds(2)): CallEnd = dispatch(admit(timeout))

    suspend fun dispatch(call: AdmittedCall): CallEnd = dispatcher.dispatch(SilentExchange(call.head), call)

    fun admit(timeout: Duration = Duration.ofSeconds(2)): AdmittedCall {
        val route =
            ForwardingRoute(
                RouteId("book"),
                "h",
                "/",
                CallKind.NON_IDEMPOTENT,
                timeout,
                timeout,
                null,
                0,
                persistentListOf(WeightedService(SERVICE, 1)),
                1,
                isPublic = true,
                isResumable = false,
            )
        val head = RequestHead("GET", "/x", Headers.of(REQUEST_ID to "r-1"))
        val headers = codec.decode(head)
        val table = RoutingTable(1, persistentListOf(route), persistentListOf(), KeyRequirement.None)
        val now = clock.now()
        return AdmittedCall(head, headers, RequestId("r-1"), table, route, null, SERVICE, now, now + timeout)
    }

    /** Runs [test] on the event loop of the router: while [test] does not suspend, no connection opens. */
    suspend fun onLoop(test: suspend CoroutineScope.() -> Unit) = withContext(loops.dispatcher, test)

    override fun close() {
        client.close()
        servers.forEach { it.close() }
        loops.close()
        endpointLoops.close()
    }

    private class PlainCodec : CallCodec {
        override val requestIdHeader = REQUEST_ID
        override val singleRequestFields = emptySet<String>()
        override val singleResponseFields = emptySet<String>()
        override val notRunHeaders = Headers.EMPTY

        override fun decode(head: RequestHead) = CallHeaders(RequestId("r-1"), "h", null, null, null, null)

        override fun upstreamHeaders(
            head: RequestHead,
            call: ForwardedCallHeaders,
        ) = head.headers.with(REMAINING, "${call.remaining.toMillis()}")

        override fun callerHeaders(head: ResponseHead) = Headers.EMPTY

        override fun isSigned(head: ResponseHead) = true

        override fun isUnencoded(head: ResponseHead) = true

        override fun isNotRun(head: ResponseHead) = false

        override fun isLeaving(head: ResponseHead) = false

        override fun callLimit(head: ResponseHead): String? = null

        override fun responder(
            head: ResponseHead,
            intended: EndpointId,
        ) = intended
    }

    private class SilentExchange(
        override val head: RequestHead,
    ) : HttpExchange {
        override val callerAddress = "127.0.0.1"
        override val body = BodySource { null }
        override val isProcessBufferFull = false
        override val callerDisconnected = Job()

        override suspend fun readBody(maxBytes: Int) = ByteArray(0)

        override suspend fun respond(
            status: Int,
            headers: Headers,
            body: ByteArray,
        ) = Unit

        override suspend fun respondStream(
            status: Int,
            headers: Headers,
        ): ResponseSink = error("no streams here")
    }
}
