package io.limpetfold.measure.slopes

import com.github.michaelbull.result.Ok
import io.limpetfold.core.EndpointId
import io.limpetfold.core.Incarnation
import io.limpetfold.core.InstanceId
import io.limpetfold.core.RequestId
import io.limpetfold.core.RouteId
import io.limpetfold.core.VersionId
import io.limpetfold.core.WorkspaceId
import io.limpetfold.core.ZoneId
import io.limpetfold.limits.DeclaredEndpoint
import io.limpetfold.limits.EndpointLimiter
import io.limpetfold.limits.RouteQueueConfig
import io.limpetfold.membership.Heartbeat
import io.limpetfold.membership.Membership
import io.limpetfold.peer.InstanceDirectory
import io.limpetfold.peer.ListedInstance
import io.limpetfold.peer.PeerNetwork
import io.limpetfold.request.ClosedRecord
import io.limpetfold.request.JournalPeer
import io.limpetfold.request.OpenedRecord
import io.limpetfold.request.RequestJournal
import io.limpetfold.store.TypedObject
import io.limpetfold.testing.TestClock
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.builtins.ListSerializer

/** Builds data structures of a router with many items; names are as long as those of the first deployments. */
internal object RouterFixtures {
    private const val RESERVED_TOKENS = 900L
    private const val USED_TOKENS = 500L
    private const val JOURNAL_CHUNK = 500
    private val ZONES = List(10) { ZoneId("kr-central-$it") }

    fun router(index: Int) = Incarnation(InstanceId("router-kr-$index"), 1_764_830_000_000 + index)

    fun workspace(index: Int) = WorkspaceId("school-kitchen-$index")

    /** Three journals in three zones after [requests] requests through the first; each has a copy of each request. */
    fun journals(
        requests: Int,
        peers: CborPeerHub = CborPeerHub(),
    ): List<RequestJournal> {
        val members = List(3) { JournalPeer(router(it).instance, ZONES[it]) }
        val journals = List(3) { RequestJournal(router(it), ZONES[it], peers.join(router(it)), { members }) }
        runBlocking {
            for (chunk in (0 until requests).chunked(JOURNAL_CHUNK)) {
                coroutineScope { chunk.forEach { launch { journals[0].recordOpened(opened(it)) } } }
                coroutineScope { chunk.forEach { launch { journals[0].recordClosed(closed(it)) } } }
            }
        }
        return journals
    }

    /** Records the start of a single request, so that the message to a peer has one record. */
    suspend fun openRequest(journal: RequestJournal) {
        journal.recordOpened(opened(0))
    }

    /** Records the end of the request that [openRequest] recorded. */
    suspend fun closeRequest(journal: RequestJournal) {
        journal.recordClosed(closed(0))
    }

    private fun requestId(index: Int) = RequestId("0193a5c8-7f3e-7c21-9f0b-" + index.toString().padStart(12, '0'))

    private fun opened(index: Int) =
        OpenedRecord(workspace(index % 100), requestId(index), router(0), EndpointId("jezik-kr-17"), RESERVED_TOKENS)

    private fun closed(index: Int) =
        ClosedRecord(
            workspace(index % 100),
            requestId(index),
            router(0),
            USED_TOKENS,
            USED_TOKENS * index,
        )

    /** A membership that lists [count] other routers and, with [hasHeartbeats], has received a heartbeat of each. */
    fun membership(
        count: Int,
        clock: TestClock = TestClock(),
        peers: CborPeerHub = CborPeerHub(),
        hasHeartbeats: Boolean = true,
    ): Membership {
        val listed = List(count + 1) { listed(it) }
        val membership = member(0, peers.join(router(0)), clock) { Ok(decoded(listed)) }
        runBlocking {
            membership.maintain()
            if (hasHeartbeats) {
                for (index in 1..count) {
                    member(
                        index,
                        peers.join(router(index), setOf(router(0).instance)),
                        clock,
                        EMPTY_DIRECTORY,
                    ).maintain()
                }
            }
        }
        peers.clear()
        return membership
    }

    private fun member(
        index: Int,
        network: PeerNetwork,
        clock: TestClock,
        directory: InstanceDirectory,
    ) = Membership(router(index).instance, directory, network, clock.monotonic) {
        Heartbeat(router(index), ZONES[index % ZONES.size], 12, index, false)
    }

    private val LIST = ListSerializer(ListedInstance.serializer())
    private val EMPTY_DIRECTORY = InstanceDirectory { Ok(persistentListOf()) }

    private fun listed(index: Int) =
        ListedInstance(
            router(index).instance,
            ListedInstance.ROUTER_SERVICE,
            VersionId("0.1.0"),
            ZONES[index % 10],
            "10.20.30.40",
            7_003,
        )

    /** The body of the platform's response that lists [count] instances. */
    fun instanceListText(count: Int): String = TypedObject.JSON.encodeToString(LIST, List(count) { listed(it) })

    /** A decoded copy of the list, whose strings are not shared with [listed], as in a response of the platform. */
    private fun decoded(listed: List<ListedInstance>): ImmutableList<ListedInstance> =
        TypedObject.JSON.decodeFromString(LIST, TypedObject.JSON.encodeToString(LIST, listed)).toImmutableList()

    fun endpoints(count: Int) = List(count) { DeclaredEndpoint(EndpointId("jezik-kr-$it"), ZONES[it % ZONES.size], 8) }

    fun limiter(
        endpoints: List<DeclaredEndpoint>,
        peers: CborPeerHub = CborPeerHub(),
        index: Int = 0,
        seats: Int = 2,
    ) = EndpointLimiter(router(index), ZONES[0], peers.join(router(index)), TestClock().monotonic).also {
        it.update(listOf(RouteQueueConfig(RouteId("r"))), index, true, seats, endpoints)
    }
}
