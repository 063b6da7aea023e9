package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import io.limpetfold.core.EndpointId
import io.limpetfold.directory.DirectoryChange
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.EndpointDecoder
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.ObjectVersion
import io.limpetfold.store.StoreError

/** Updates an [EndpointDirectory] from the store; skips each entry that does not decode. */
class EndpointDirectoryUpdater(
    private val directory: EndpointDirectory,
    private val decoder: EndpointDecoder,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) : FeedListener {
    private val storeState = DependencyState("store.endpoints", log)

    /** Whether the store responded to the last call of this feed; false before the first call. */
    val isStoreAvailable: Boolean get() = storeState.isAvailable

    override fun onListed(page: ObjectPage) {
        onStoreResponded()
        val (endpoints, _) = decode(page)
        val change = directory.applyList(endpoints, page.position, clock.now())
        logList("endpoints.listed", page.position, endpoints.size, change)
    }

    override fun onChanged(page: ObjectPage) {
        onStoreResponded()
        val (endpoints, unusable) = decode(page)
        val removed = page.removed.map { EndpointId(it.path.substringAfterLast('/')) }
        directory.applyChanges(endpoints, removed + unusable, page.position, clock.now())
        endpoints.forEach {
            log.info(
                "endpoint.changed",
                "endpoint" to it.id,
                "service" to it.service,
                "draining" to it.isDraining,
                "coldMillis" to it.coldMillis,
                "position" to page.position,
            )
        }
        removed.forEach { log.info("endpoint.removed", "endpoint" to it, "position" to page.position) }
    }

    override fun onFailed(error: StoreError) {
        directory.onStoreUnavailable()
        storeState.markUnavailable(error.message)
    }

    /** Applies a peer's list if [position] is newer; used while the store does not respond to this router. */
    fun applyIfNewer(
        endpoints: List<Endpoint>,
        position: ObjectVersion,
        peer: String,
    ) {
        if (position <= directory.position) return
        val change = directory.applyList(endpoints, position, clock.now())
        logList("endpoints.copied", position, endpoints.size, change, "peer" to peer)
    }

    private fun logList(
        event: String,
        position: ObjectVersion,
        count: Int,
        change: DirectoryChange?,
        vararg source: Pair<String, Any>,
    ) {
        if (change == null) {
            log.info("endpoints.ignored", *source, "position" to position, "known" to directory.position)
            return
        }
        log.info(
            event,
            *source,
            "position" to position,
            "count" to count,
            "added" to change.added,
            "missing" to change.missing,
            "withheld" to change.withheld,
            "stillDraining" to change.stillDraining,
        )
    }

    private fun onStoreResponded() {
        directory.onStoreAvailable(clock.now())
        storeState.markAvailable()
    }

    private fun decode(page: ObjectPage): Pair<List<Endpoint>, List<EndpointId>> {
        val unusable = mutableListOf<EndpointId>()
        val endpoints =
            page.objects.mapNotNull { stored ->
                decoder.decode(stored).fold(
                    success = { it.copy(entryVersion = stored.version) },
                    failure = { reason ->
                        unusable += EndpointId(stored.key.path.substringAfterLast('/'))
                        log.warn("endpoint.skipped", "entry" to stored.key, "reason" to reason)
                        null
                    },
                )
            }
        return endpoints to unusable
    }
}
