package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.RoutingTableDecoder
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.StoreError

/**
 * The configuration in force on this router. A lower version than the one in force is never taken, whoever tells it.
 *
 * @param onStoreRegained called when the store answers again after a failure.
 * @param onChange called with each new table and the one before.
 */
class RoutingTableReplica(
    private val key: ObjectKey,
    private val decoder: RoutingTableDecoder,
    private val log: DecisionLog,
    private val onStoreRegained: () -> Unit = {},
    private val onChange: (before: RoutingTable?, now: RoutingTable) -> Unit,
) : FeedListener {
    /** The table in force; null until one was read. */
    @Volatile
    var current: RoutingTable? = null
        private set

    /** The stored form of [current], which peers are given. */
    @Volatile
    var text: String? = null
        private set

    private val link = DependencyState("store.config", log)

    /** Whether the store answers, as far as this feed knows. */
    val isStoreAnswering: Boolean get() = link.isUp

    /** Takes [stored] when its version is higher than the one in force. */
    fun offer(
        stored: String,
        source: String,
    ) {
        decoder.decode(stored).fold(
            success = { take(it, stored, source) },
            failure = { log.warn("config.refused", "source" to source, "reason" to it) },
        )
    }

    override fun onListed(page: ObjectPage) = onChanged(page)

    override fun onChanged(page: ObjectPage) {
        if (!link.isUp) onStoreRegained()
        link.up()
        page.objects.filter { it.key == key }.forEach { offer(it.value, "store") }
    }

    override fun onFailed(error: StoreError) = link.down(error.message)

    private fun take(
        table: RoutingTable,
        stored: String,
        source: String,
    ) {
        val before = current
        if (before != null && table.version <= before.version) return
        current = table
        text = stored
        log.info(
            "config.accepted",
            "version" to table.version,
            "before" to before?.version,
            "source" to source,
            "routes" to table.routes.size,
            "workspaces" to table.workspaces.size,
        )
        onChange(before, table)
    }
}
