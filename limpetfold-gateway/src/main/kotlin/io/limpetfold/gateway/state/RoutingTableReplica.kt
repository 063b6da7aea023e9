package io.limpetfold.gateway.state

import com.github.michaelbull.result.fold
import io.limpetfold.gateway.observe.DecisionLog
import io.limpetfold.replication.CompressedText
import io.limpetfold.routing.KeyRequirement
import io.limpetfold.routing.RoutingTable
import io.limpetfold.routing.RoutingTableDecoder
import io.limpetfold.store.ObjectKey
import io.limpetfold.store.ObjectPage
import io.limpetfold.store.StoreError

/**
 * The active configuration of this router. A version that is not higher than the active one is ignored, whatever its
 * source, and also if the store was restored from a copy that lacks the active one: the operator publishes it again.
 *
 * @param onStoreRecovered called when the store responds for the first time, and when it responds again after a
 * failure.
 * @param onChange called with the previous and the new table after each change.
 */
class RoutingTableReplica(
    private val key: ObjectKey,
    private val decoder: RoutingTableDecoder,
    private val log: DecisionLog,
    private val onStoreRecovered: () -> Unit = {},
    private val onChange: (previous: RoutingTable?, current: RoutingTable) -> Unit,
) : FeedListener {
    /** The active table; null until the first one has been read. */
    @Volatile
    var current: RoutingTable? = null
        private set

    /** The stored form of [current], which is sent to peers. */
    @Volatile
    var storedText: String? = null
        private set

    private var lazyCompressedText: Lazy<CompressedText?> = lazyOf(null)

    /** [storedText] compressed, which is made once for all peers; null if it is short. */
    val compressedText: CompressedText? get() = lazyCompressedText.value

    private val storeState = DependencyState("store.config", log)

    /** Whether the store responded to the last call of this feed; false before the first call. */
    val isStoreAvailable: Boolean get() = storeState.isAvailable

    /** Decodes [stored] and activates it if its version is higher than the active one. */
    fun applyIfNewer(
        stored: String,
        source: String,
    ) {
        decoder.decode(stored).fold(
            success = { activate(it, stored, source) },
            failure = { log.warn("config.refused", "source" to source, "reason" to it) },
        )
    }

    override fun onListed(page: ObjectPage) = onChanged(page)

    override fun onChanged(page: ObjectPage) {
        if (!storeState.isAvailable) onStoreRecovered()
        storeState.markAvailable()
        page.objects.filter { it.key == key }.forEach { applyIfNewer(it.value, "store") }
    }

    override fun onFailed(error: StoreError) = storeState.markUnavailable(error.message)

    private fun logOlder(
        offered: Long,
        active: Long,
        source: String,
    ) = log.warn("config.older_ignored", "version" to active, "offered" to offered, "source" to source)

    private fun activate(
        table: RoutingTable,
        stored: String,
        source: String,
    ) {
        val previous = current
        if (previous != null && table.version <= previous.version) {
            if (table.version < previous.version) logOlder(table.version, previous.version, source)
            return
        }
        current = table
        storedText = stored
        lazyCompressedText = lazy(LazyThreadSafetyMode.NONE) { CompressedText.ofLong(stored) }
        log.info(
            "config.accepted",
            "version" to table.version,
            "before" to previous?.version,
            "source" to source,
            "routes" to table.routes.size,
            "workspaces" to table.workspaces.size,
        )
        if (previous?.keyRequirement is KeyRequirement.KeyOf && table.keyRequirement == KeyRequirement.None) {
            log.warn("config.keys_not_required", "version" to table.version, "before" to previous.version)
        }
        onChange(previous, table)
    }
}
