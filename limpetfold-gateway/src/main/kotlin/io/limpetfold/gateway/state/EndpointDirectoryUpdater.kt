package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import io.limpetfold.core.EndpointId
import io.limpetfold.directory.Endpoint
import io.limpetfold.directory.EndpointDirectory
import io.limpetfold.gateway.MonotonicClock
import io.limpetfold.gateway.codec.EndpointDecoder
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.StoreError

/** Feeds an [EndpointDirectory] from the store; entries that can't be used are left out one by one. */
class EndpointDirectoryUpdater(
    private val directory: EndpointDirectory,
    private val decoder: EndpointDecoder,
    private val clock: MonotonicClock,
    private val log: DecisionLog,
) : FeedListener {
    private val link = DependencyState("store.endpoints", log)

    /** Whether the store answers, as far as this feed knows. */
    val isStoreAnswering: Boolean get() = link.isUp

    override fun onListed(page: ObjectPage) {
        answered()
        val (endpoints, _) = decode(page)
        directory.applyList(endpoints, page.position.number, clock.now())
        log.info("endpoints.listed", "position" to page.position.number, "count" to endpoints.size)
    }

    override fun onChanged(page: ObjectPage) {
        answered()
        val (endpoints, unusable) = decode(page)
        val removed = page.removed.map { EndpointId(it.path.substringAfterLast('/')) }
        directory.applyChanges(endpoints, removed + unusable, page.position.number, clock.now())
        endpoints.forEach {
            log.info(
                "endpoint.changed",
                "endpoint" to it.endpoint,
                "service" to it.service,
                "draining" to it.isDraining,
                "position" to page.position.number,
            )
        }
        removed.forEach { log.info("endpoint.removed", "endpoint" to it, "position" to page.position.number) }
    }

    override fun onFailed(error: StoreError) {
        directory.onStoreUnavailable()
        link.down(error.message)
    }

    /** Takes a peer's copy while the store does not answer this router. */
    fun offer(
        endpoints: List<Endpoint>,
        position: Long,
        peer: String,
    ) {
        if (position <= directory.position) return
        directory.applyList(endpoints, position, clock.now())
        log.info("endpoints.copied", "peer" to peer, "position" to position, "count" to endpoints.size)
    }

    private fun answered() {
        directory.onStoreAvailable(clock.now())
        link.up()
    }

    private fun decode(page: ObjectPage): Pair<List<Endpoint>, List<EndpointId>> {
        val unusable = mutableListOf<EndpointId>()
        val endpoints =
            page.objects.mapNotNull { stored ->
                decoder.decode(stored).fold(
                    success = { it },
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
